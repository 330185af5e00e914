/** What an instance of the relay is made of. */
import type { Clock, Random } from 'foxtaillever-core'
import type { RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import type { Logs } from 'foxtaillever-telemetry'
import type { Either } from 'purify-ts'
import type { KeyedLog, KeyedRecord } from './knowledge/keyedLog.js'
import type { ListedServer, WantedWeights } from './model/listedServer.js'
import type { Routing } from './model/routing.js'
import type { CallerWire, ServerWire } from './model/wire.js'

export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Turns records of the store into what the core knows; Left says what is wrong with one. */
export interface RecordReaders {
  readonly routing: (value: Buffer) => Either<string, Routing>
  readonly server: (id: string, value: Buffer) => Either<string, ListedServer>
  readonly weights: (value: Buffer) => Either<string, WantedWeights>
  /** What a key of the operators' topic names. */
  readonly kindOfKey: (record: KeyedRecord) => OperatorKey
}

/** What operators write. */
export enum OperatorKey {
  Routing = 'routing',
  Weights = 'weights',
  Other = 'other'
}

/** Names of the topics that are followed. */
export interface Topics {
  readonly operators: string
  readonly servers: string
}

export interface RelayOptions {
  readonly name: string
  readonly failureDomain: string
  readonly callers: ListenAddress
  readonly readiness: ListenAddress
  readonly clock: Clock
  readonly random: Random
  readonly logs: Logs
  readonly log: KeyedLog
  readonly topics: Topics
  readonly readers: RecordReaders
  readonly callerWire: CallerWire
  readonly serverWire: ServerWire
  readonly retryAllowance: RetryAllowance
  /** After this a shutdown ends what is left, milliseconds. */
  readonly graceMs: number
}
