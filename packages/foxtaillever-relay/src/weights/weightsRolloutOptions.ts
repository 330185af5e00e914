/** Dependencies of the rollout of new weights. */
import type { Clock } from 'foxtaillever-core'
import type { WeightsUpdate } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { EngineOrders } from './engineOrders.js'
import type { OrderLease } from './orderLease.js'

export interface WeightsRolloutOptions {
  readonly clock: Clock
  readonly holder: string
  readonly directory: ServerDirectory
  readonly lease: OrderLease
  readonly orders: EngineOrders
  readonly log: RelayLog
  /** This instance's rank among those that may take the lease; rank 0 acts at once. */
  readonly rank: () => number
  /** Whether this instance reaches the engines over its own links. If it does not, another instance must give the orders. */
  readonly reachesServers: () => boolean
  /** Outstanding requests of the whole fleet at the server. */
  readonly outstandingAt: (server: KnownServer) => number
  /** Time to read the prompts that wait at the server, milliseconds. */
  readonly waitMsAt: (server: KnownServer) => number
  /** Sends updates to the other instances; called once after each check, for all engines that changed. */
  readonly announce: (updates: readonly WeightsUpdate[]) => void
}
