/**
 * Takes records of the platform's store in: configurations, named weights, and
 * the entries of backend servers. A record that cannot be read changes nothing.
 */
import type { Clock } from 'foxtaillever-core'
import type { Routing } from '../model/routing.js'
import { OperatorKey, type RecordReaders } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KeyedRecord } from './keyedLog.js'
import { eraOf, formatPosition } from './storePosition.js'

export interface RecordIntakeOptions {
  readonly clock: Clock
  readonly log: RelayLog
  readonly readers: RecordReaders
  readonly directory: ServerDirectory
  /** Until then an entry that is missing may come back, milliseconds of Unix time. */
  readonly settledAt: () => number
  readonly onRouting: (routing: Routing) => void
  /** @returns false where newer weights of the model are named already. */
  readonly onWeights: (model: string, version: number) => boolean
}

/** The configuration that was taken in last. */
interface TakenRouting {
  readonly value: Buffer
  readonly revision: number
  readonly offset: number
}

/** A key whose entry cannot be read is logged once in this, milliseconds. */
const UNREADABLE_LOGGED_MS = 60_000

/** Keys of unreadable entries logged in that time; one line each of some 300 bytes. */
const MOST_UNREADABLE_LOGGED = 32

/** Characters of a key and of the reason in such a line. */
const MOST_KEY_LOGGED = 64
const MOST_REASON_LOGGED = 160

export class RecordIntake {
  /** Keys logged as unreadable, and until when they are not logged again, milliseconds of Unix time. */
  private readonly unreadable = new Map<string, number>()
  private taken: TakenRouting | undefined

  private readonly operatorHandlers: Readonly<Record<OperatorKey, (key: string, value: Buffer, offset: number) => boolean>> = {
    [OperatorKey.Routing]: (key, value, offset) => this.takeRouting(key, value, offset),
    [OperatorKey.Weights]: (key, value) => this.takeWeights(key, value),
    [OperatorKey.Other]: () => false
  }

  private constructor (private readonly options: RecordIntakeOptions) {}

  static create (options: RecordIntakeOptions): RecordIntake {
    return new RecordIntake(options)
  }

  /**
   * A record of operators. Versions say what is newer, not offsets: a store that was
   * restored from an older copy shows older contents at later positions.
   * @returns false for one that is older than what is in force.
   */
  takeOperators (record: KeyedRecord): boolean {
    const { key, value } = record
    if (value === undefined) {
      // What was in force stays: a record that is dropped from the store revokes nothing.
      return false
    }
    return this.operatorHandlers[this.options.readers.kindOfKey(record)](key, value, record.offset)
  }

  private takeRouting (key: string, value: Buffer, offset: number): boolean {
    const { readers, log, onRouting } = this.options
    const { taken } = this
    if (taken?.value.equals(value) === true) {
      this.taken = { ...taken, offset: Math.max(taken.offset, offset) }
      return true
    }
    if (taken !== undefined && offset < taken.offset && eraOf(offset) === eraOf(taken.offset)) {
      return false
    }
    return readers.routing(value).caseOf({
      Left: reason => {
        log.trouble('A configuration cannot be read; the last one stays in force.', { key, reason })
        return offset > (taken?.offset ?? -1)
      },
      Right: routing => {
        if (!this.isNewRouting(routing, offset)) {
          log.trouble('The platform\'s store has an older configuration than the one in force, which stays.', { revision: routing.revision, inForce: taken?.revision, position: formatPosition(offset) })
          return false
        }
        this.taken = { value, revision: routing.revision, offset }
        onRouting(routing)
        return true
      }
    })
  }

  /** Of two with the same revision the one written later counts. */
  private isNewRouting ({ revision }: Routing, offset: number): boolean {
    const { taken } = this
    return taken === undefined || revision > taken.revision || (revision === taken.revision && offset > taken.offset)
  }

  private takeWeights (key: string, value: Buffer): boolean {
    const { readers, log, onWeights } = this.options
    return readers.weights(value).caseOf({
      Left: reason => {
        log.trouble('Named weights cannot be read.', { key, reason })
        return true
      },
      Right: ({ model, version }) => onWeights(model, version)
    })
  }

  /**
   * An entry of a backend server, or its removal.
   * @returns whether it says anything else than the one before.
   */
  takeServer ({ key, value, offset }: KeyedRecord): boolean {
    const { readers, directory } = this.options
    if (value === undefined) {
      this.remove(key, offset)
      return true
    }
    return readers.server(key, value).caseOf({
      Left: reason => this.takeUnreadable(key, offset, reason),
      Right: listed => directory.applyEntry(listed, offset)
    })
  }

  /**
   * Other writers may put entries there, as many as they like: each key is logged
   * once in a while, and not more than some keys.
   */
  private takeUnreadable (key: string, offset: number, reason: string): boolean {
    const { clock, log, directory } = this.options
    const now = clock.now()
    this.unreadable.forEach((until, id) => {
      if (until <= now) {
        this.unreadable.delete(id)
      }
    })
    if (!this.unreadable.has(key) && this.unreadable.size < MOST_UNREADABLE_LOGGED) {
      this.unreadable.set(key, now + UNREADABLE_LOGGED_MS)
      log.trouble('An entry of a backend server cannot be read; it gets no new work.', { server: key.slice(0, MOST_KEY_LOGGED), position: formatPosition(offset), reason: reason.slice(0, MOST_REASON_LOGGED) })
    }
    return directory.markUnreadable(key, offset)
  }

  /**
   * While the store is down entries expire that live servers write again after
   * its return. Dropped at once, they would leave no server for a while.
   */
  private remove (id: string, offset: number): void {
    const { clock, log, directory, settledAt } = this.options
    if (settledAt() <= clock.now()) {
      directory.remove(id, offset)
      return
    }
    log.belief('An entry expired while the store was down; its server may write it again.', { server: id, position: formatPosition(offset) })
    clock.at(settledAt(), () => directory.remove(id, offset))
  }
}
