/**
 * Applies records of the platform's store: configurations, weights versions and
 * the entries of backend servers. A configuration or weights record that cannot be
 * read changes nothing. An unexpected error with one record never reaches the reader of
 * the topic, which would miss the records behind it.
 *
 * Whether a record is passed on to other instances depends on the earlier records of
 * its key only. What this instance learned in another way, such as from a server's
 * answer, other instances may not know.
 */
import type { Clock } from 'foxtaillever-core'
import { Either } from 'purify-ts'
import { hasSameContent, type ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import { OperatorKey, type RecordReaders } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KeyedRecord } from './keyedLog.js'
import { eraOf, formatPosition } from './storePosition.js'

export interface RecordHandlerOptions {
  readonly clock: Clock
  readonly log: RelayLog
  readonly readers: RecordReaders
  readonly directory: ServerDirectory
  /** Until this time a missing entry may be written again, so removals wait; milliseconds of Unix time. */
  readonly removalsDeferredUntil: () => number
  readonly onRouting: (routing: Routing) => void
  readonly onWeights: (model: string, version: number) => void
}

/** The configuration that was applied last. */
interface AppliedRouting {
  readonly value: Buffer
  readonly revision: number
  readonly offset: number
}

/** A key whose entry cannot be read is logged at most once in this time, milliseconds. */
const UNREADABLE_LOG_INTERVAL_MS = 60_000

/** Unreadable keys that are logged within the interval, one line of some 300 bytes each. */
const MAX_UNREADABLE_LOGGED = 32

/** Characters of the key and of the reason in such a log line. */
const MAX_KEY_LOGGED = 64
const MAX_REASON_LOGGED = 160

export class RecordHandler {
  /** Keys that were logged as unreadable, and the time until which they are not logged again, milliseconds of Unix time. */
  private readonly unreadableKeys = new Map<string, number>()
  private applied: AppliedRouting | undefined
  /** The newest version of each model in the records. */
  private readonly recordedVersions = new Map<string, number>()
  /** The last entry of each server; undefined where it cannot be read. */
  private readonly entries = new Map<string, ListedServer | undefined>()

  private readonly operatorHandlers: Readonly<Record<OperatorKey, (key: string, value: Buffer, offset: number) => boolean>> = {
    [OperatorKey.Routing]: (key, value, offset) => this.applyRouting(key, value, offset),
    [OperatorKey.Weights]: (key, value) => this.applyWeights(key, value),
    [OperatorKey.Other]: () => false
  }

  private constructor (private readonly options: RecordHandlerOptions) {}

  static create (options: RecordHandlerOptions): RecordHandler {
    return new RecordHandler(options)
  }

  /**
   * Applies a record of operators. Versions decide which record is newer, not offsets:
   * a store that was restored from a backup has older contents at later positions.
   * @returns false for a record that is older than the one in force.
   */
  applyOperatorRecord (record: KeyedRecord): boolean {
    const { key, value } = record
    if (value === undefined) {
      // A record that is removed from the store revokes nothing: its contents stay in force.
      return false
    }
    return this.guard(
      () => this.operatorHandlers[this.options.readers.kindOfKey(record)](key, value, record.offset),
      reason => this.options.log.trouble('A record of operators cannot be applied; what is in force stays.', { key: key.slice(0, MAX_KEY_LOGGED), position: formatPosition(record.offset), reason })
    )
  }

  /** Other instances get a record that cannot be applied here: they may run another release. */
  private guard (apply: () => boolean, onError: (reason: string) => void): boolean {
    return Either.encase(apply).mapLeft(String).ifLeft(onError).orDefault(true)
  }

  private applyRouting (key: string, value: Buffer, offset: number): boolean {
    const { readers, log, onRouting } = this.options
    const { applied } = this
    if (applied?.value.equals(value) === true) {
      this.applied = { ...applied, offset: Math.max(applied.offset, offset) }
      return true
    }
    if (applied !== undefined && offset < applied.offset && eraOf(offset) === eraOf(applied.offset)) {
      return false
    }
    return readers.routing(value).caseOf({
      Left: reason => {
        log.trouble('A configuration cannot be read; the last one stays in force.', { key, reason })
        return offset > (applied?.offset ?? -1)
      },
      Right: routing => {
        if (!this.isNewerRouting(routing, offset)) {
          log.trouble('The platform\'s store has an older configuration than the one in force, which stays.', { revision: routing.revision, inForce: applied?.revision, position: formatPosition(offset) })
          return false
        }
        this.applied = { value, revision: routing.revision, offset }
        onRouting(routing)
        return true
      }
    })
  }

  /** Of two configurations with the same revision, the one written later wins. */
  private isNewerRouting ({ revision }: Routing, offset: number): boolean {
    const { applied } = this
    return applied === undefined || revision > applied.revision || (revision === applied.revision && offset > applied.offset)
  }

  private applyWeights (key: string, value: Buffer): boolean {
    const { readers, log, onWeights } = this.options
    return readers.weights(value).caseOf({
      Left: reason => {
        log.trouble('Named weights cannot be read.', { key, reason })
        return true
      },
      Right: ({ model, version }) => {
        const recorded = this.recordedVersions.get(model) ?? -1
        this.recordedVersions.set(model, Math.max(recorded, version))
        onWeights(model, version)
        return version >= recorded
      }
    })
  }

  /**
   * Applies an entry of a backend server, or its removal.
   * @returns whether it differs from the entry before.
   */
  applyServerRecord (record: KeyedRecord): boolean {
    const { key, offset } = record
    return this.guard(() => this.applyEntry(record), reason => {
      this.handleUnreadableEntry(key, offset, reason)
      this.replaceEntry(key, undefined)
    })
  }

  private applyEntry ({ key, value, offset }: KeyedRecord): boolean {
    const { readers, directory } = this.options
    if (value === undefined) {
      this.entries.delete(key)
      this.removeServer(key, offset)
      return true
    }
    return readers.server(key, value).caseOf({
      Left: reason => {
        this.handleUnreadableEntry(key, offset, reason)
        return this.replaceEntry(key, undefined)
      },
      Right: listed => {
        directory.applyEntry(listed, offset)
        return this.replaceEntry(key, listed)
      }
    })
  }

  /** @returns whether the entry differs from the previous one. An unreadable entry without a previous one concerns no known server. */
  private replaceEntry (key: string, entry: ListedServer | undefined): boolean {
    const isKnown = this.entries.has(key)
    const previous = this.entries.get(key)
    if (isKnown || entry !== undefined) {
      this.entries.set(key, entry)
    }
    return previous === undefined || entry === undefined ? previous !== entry : !hasSameContent(previous, entry)
  }

  /**
   * Any number of invalid entries may be written to the topic, so the log is limited
   * by key and in all.
   */
  private handleUnreadableEntry (key: string, offset: number, reason: string): void {
    const { clock, log, directory } = this.options
    const now = clock.now()
    this.unreadableKeys.forEach((until, id) => {
      if (until <= now) {
        this.unreadableKeys.delete(id)
      }
    })
    if (!this.unreadableKeys.has(key) && this.unreadableKeys.size < MAX_UNREADABLE_LOGGED) {
      this.unreadableKeys.set(key, now + UNREADABLE_LOG_INTERVAL_MS)
      log.trouble('An entry of a backend server cannot be read; it gets no new work.', { server: key.slice(0, MAX_KEY_LOGGED), position: formatPosition(offset), reason: reason.slice(0, MAX_REASON_LOGGED) })
    }
    directory.markUnreadable(key, offset)
  }

  /**
   * While the store is down, the entries of live servers expire; the servers write
   * them again once it recovers. Immediate removal would leave no server until then.
   */
  private removeServer (id: string, offset: number): void {
    const { clock, log, directory, removalsDeferredUntil } = this.options
    if (removalsDeferredUntil() <= clock.now()) {
      directory.remove(id, offset)
      return
    }
    log.belief('An entry expired while the store was down; its server may write it again.', { server: id, position: formatPosition(offset) })
    clock.at(removalsDeferredUntil(), () => directory.remove(id, offset))
  }
}
