/** What the desk that orders new weights works with. */
import type { Clock } from 'foxtaillever-core'
import type { WeightsUpdate } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { EngineOrders } from './engineOrders.js'
import type { OrderLease } from './orderLease.js'

export interface WeightsDeskOptions {
  readonly clock: Clock
  readonly holder: string
  readonly directory: ServerDirectory
  readonly lease: OrderLease
  readonly orders: EngineOrders
  readonly log: RelayLog
  /** This instance's place among those that may take the lease; 0 acts at once. */
  readonly rank: () => number
  /** All requests that the fleet has at the server. */
  readonly outstandingAt: (server: KnownServer) => number
  /** How long the prompts that wait at the server take to read, milliseconds. */
  readonly waitMsAt: (server: KnownServer) => number
  /** Told once after each look, for all engines of which there is news. */
  readonly tell: (news: readonly WeightsUpdate[]) => void
}
