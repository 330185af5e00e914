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

export interface RecordIntakeOptions {
  readonly clock: Clock
  readonly log: RelayLog
  readonly readers: RecordReaders
  readonly directory: ServerDirectory
  /** Until then an entry that is missing may come back, milliseconds of Unix time. */
  readonly settledAt: () => number
  readonly onRouting: (routing: Routing) => void
  readonly onWeights: (model: string, version: number) => void
}

export class RecordIntake {
  private constructor (private readonly options: RecordIntakeOptions) {}

  static create (options: RecordIntakeOptions): RecordIntake {
    return new RecordIntake(options)
  }

  /**
   * A record of operators.
   * @returns whether it says anything new, which each does.
   */
  takeOperators (record: KeyedRecord): boolean {
    const { readers, log, onRouting, onWeights } = this.options
    const { key, value } = record
    if (value === undefined) {
      // What was in force stays: a record that is dropped from the store revokes nothing.
      return true
    }
    const kind = readers.kindOfKey(record)
    if (kind === OperatorKey.Routing) {
      readers.routing(value).caseOf({
        Left: reason => log.trouble('A configuration cannot be read; the last one stays in force.', { key, reason }),
        Right: onRouting
      })
    }
    if (kind === OperatorKey.Weights) {
      readers.weights(value).caseOf({
        Left: reason => log.trouble('Named weights cannot be read.', { key, reason }),
        Right: ({ model, version }) => onWeights(model, version)
      })
    }
    return true
  }

  /**
   * An entry of a backend server, or its removal.
   * @returns whether it says anything else than the one before.
   */
  takeServer ({ key, value, offset }: KeyedRecord): boolean {
    const { readers, log, directory } = this.options
    if (value === undefined) {
      this.remove(key, offset)
      return true
    }
    return readers.server(key, value).caseOf({
      Left: reason => {
        log.trouble('An entry of a backend server cannot be read.', { server: key, reason })
        return false
      },
      Right: listed => directory.observe(listed, offset)
    })
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
    log.belief('An entry expired while the store was down; its server may write it again.', { server: id, offset })
    clock.at(settledAt(), () => directory.remove(id, offset))
  }
}
