/** Builds what an instance reports about itself in its heartbeats, and applies the heartbeats of other instances. */
import type { Clock } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import type { CrashSuspects } from '../exchange/crashSuspects.js'
import type { ExchangeDispatcher } from '../exchange/exchangeDispatcher.js'
import type { StoreReplica } from '../knowledge/storeReplica.js'
import type { OrderCoordinator } from '../weights/orderCoordinator.js'
import type { PeerMessage } from './peerMessage.js'
import type { OwnReport, Peers } from './peers.js'
import type { WeightsNotice } from './weightsNotice.js'

/** Components of an instance that heartbeats read and update. */
export interface HeartbeatParts {
  readonly clock: Clock
  readonly exchanges: ExchangeDispatcher
  readonly suspects: CrashSuspects
  readonly peers: Peers
  readonly knowledge: StoreReplica
  readonly orders: OrderCoordinator
  readonly isLeaving: boolean
  /** How much of the servers this instance reaches over its own links. */
  readonly links: LinkState
  /** Revision of the configuration in force; -1 before the first. */
  readonly revision: number
}

export function createOwnReport ({ clock, exchanges, suspects, peers, knowledge, orders, isLeaving, links, revision }: HeartbeatParts): OwnReport {
  const { directory, caches, limits } = exchanges
  const cacheReport = caches.createReport()
  return {
    isLeaving,
    hasStore: knowledge.hasStore,
    positions: knowledge.positions,
    revision,
    lease: orders.lease.snapshot(),
    loads: caches.fetchLoads(),
    sums: peers.loadProtocol.sums(directory.all().map(({ hash }) => hash)),
    suspects: suspects.factsToAnnounce(clock.now()),
    ...cacheReport,
    // To an instance with broken links, every store is silent.
    stores: links === LinkState.Sound ? cacheReport.stores : [],
    links,
    named: orders.rollout.versionAges(),
    current: orders.rollout.currentEngines(),
    speeds: directory.speedsToAnnounce(),
    limits: limits.updates(),
    brittle: exchanges.brittle.updates()
  }
}

export function applyPeerMessage (parts: HeartbeatParts, { address, lease, suspects, named, current, speeds, limits, brittle, ...caches }: PeerMessage): void {
  const { clock, exchanges, peers, orders } = parts
  exchanges.setInstanceCount(peers.count())
  exchanges.limits.applyUpdates(limits)
  exchanges.brittle.applyUpdates(brittle)
  parts.suspects.receiveFacts(suspects, clock.now())
  exchanges.caches.applyReport(address, caches)
  applyWeightsNotice(orders, { updates: [], lease })
  speeds.forEach(({ service, ...speed }) => exchanges.directory.observations.prefillSpeedOf(service).adoptReport(speed))
  named.forEach(update => orders.rollout.applyVersion(update))
  current.forEach(update => orders.rollout.applyCurrentEngines(update))
}

export function applyWeightsNotice ({ lease: own, rollout: weightsRollout }: OrderCoordinator, { updates, lease }: WeightsNotice): void {
  if (lease) {
    own.applySnapshot(lease)
  }
  updates.forEach(update => weightsRollout.applyUpdate(update))
}
