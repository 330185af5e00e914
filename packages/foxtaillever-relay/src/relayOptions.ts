/** Options of one instance of the relay. */
import type { Clock, Random } from 'foxtaillever-core'
import type { LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import type { RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import type { Logs } from 'foxtaillever-telemetry'
import type { Either } from 'purify-ts'
import type { CacheStoreCalls } from './cache/storeMonitor.js'
import type { KeyedRecord } from './knowledge/keyedLog.js'
import type { WritableKeyedLog } from './knowledge/memberRegistry.js'
import type { ListedServer, WantedWeights } from './model/listedServer.js'
import type { Routing, Service } from './model/routing.js'
import type { CallerWire, ServerWire } from './model/wire.js'
import type { ServerCall } from './servers/serverConnections.js'
import type { EngineOrders } from './weights/engineOrders.js'
import type { FenceLog } from './weights/fenceLog.js'

export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Parsers for records of the platform's store; Left says what is wrong with a record. */
export interface RecordReaders {
  readonly routing: (value: Buffer) => Either<string, Routing>
  readonly server: (id: string, value: Buffer) => Either<string, ListedServer>
  readonly weights: (value: Buffer) => Either<string, WantedWeights>
  /** What the key of a record in the operators' topic refers to. */
  readonly kindOfKey: (record: KeyedRecord) => OperatorKey
}

/** Kinds of records that operators write. */
export enum OperatorKey {
  Routing = 'routing',
  Weights = 'weights',
  Other = 'other'
}

/** Names of topics in the platform's store. */
export interface Topics {
  readonly operators: string
  readonly servers: string
  /** Addresses of instances, read by instances that start. */
  readonly members: string
  /** The lease on giving orders. */
  readonly lease: string
  /** What is known to crash backend servers. */
  readonly quarantines: string
  /** Software versions that served each service until a moment ago, read by instances that start. */
  readonly versions: string
}

/** What may change while the instance runs. */
export interface RunningSettings {
  /** Addresses of some instances, which may be stale. */
  readonly seeds: readonly string[]
  readonly retryAllowance: RetryAllowance
  /** Grace period after which a shutdown aborts the remaining requests, milliseconds. */
  readonly graceMs: number
}

export interface RelayOptions extends RunningSettings {
  /** By how much quotas may be exceeded while instances cannot agree. */
  readonly quotaTolerance: LimitTolerance
  readonly name: string
  readonly failureDomain: string
  /** Memory of the machine that the process may use, bytes; undefined if nothing limits it but its heap. */
  readonly memoryBytes?: number | undefined
  /** Descriptors that the process may have open; undefined if unknown. */
  readonly descriptors?: number | undefined
  readonly callers: ListenAddress
  readonly readiness: ListenAddress
  /** Address of the metrics endpoint; undefined for none. */
  readonly metrics?: ListenAddress
  /** For datagrams and calls between instances; the port is the same for all. */
  readonly peers: ListenAddress
  readonly clock: Clock
  readonly random: Random
  readonly logs: Logs
  readonly log: WritableKeyedLog
  readonly fenceLog: FenceLog
  readonly engineOrders: EngineOrders
  readonly cacheStoreCalls: CacheStoreCalls
  readonly topics: Topics
  readonly readers: RecordReaders
  readonly callerWire: CallerWire
  readonly serverWire: ServerWire
  /** A call that servers of the service answer without running anything; undefined for an unknown service. */
  readonly probeCall: (service: Service | undefined) => ServerCall
  /** Minimum pause between the orders of two successive holders of the lease, milliseconds. */
  readonly leasePauseMs: number
  /** Time after the announcement of new weights from which no request may begin on older weights, milliseconds. */
  readonly weightsBoundMs: number
  /** Time within which a configuration must be in force at all instances, milliseconds. */
  readonly configurationBoundMs: number
  /** Interval at which backend servers write their entries, approximately, milliseconds. */
  readonly serverHeartbeatMs: number
}
