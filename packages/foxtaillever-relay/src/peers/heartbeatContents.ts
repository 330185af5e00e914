/** Builds what an instance reports about itself in its heartbeats, and applies the heartbeats of other instances. */
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import type { CrashProtocol } from '../crashes/crashProtocol.js'
import type { ExchangeDispatcher } from '../exchange/exchangeDispatcher.js'
import type { StoreReplica } from '../knowledge/storeReplica.js'
import type { OrderCoordinator } from '../weights/orderCoordinator.js'
import type { PeerMessage } from './peerMessage.js'
import type { OwnReport, Peers } from './peers.js'
import type { WeightsNotice } from './weightsNotice.js'

/** Components of an instance that heartbeats read and update. */
export interface HeartbeatParts {
  readonly exchanges: ExchangeDispatcher
  readonly crashes: Pick<CrashProtocol, 'quarantinesToAnnounce' | 'applyQuarantines'>
  readonly peers: Peers
  readonly knowledge: StoreReplica
  readonly orders: OrderCoordinator
  /** By how much the event loop is late, milliseconds. */
  readonly delayMs: number
  readonly isLeaving: boolean
  /** How much of the servers this instance reaches over its own links. */
  readonly links: LinkState
  /** Revision of the configuration in force; -1 before the first. */
  readonly revision: number
}

export function createOwnReport ({ exchanges, crashes, peers, knowledge, orders, isLeaving, delayMs, links, revision }: HeartbeatParts): OwnReport {
  const { directory, caches, limits } = exchanges
  const cacheReport = caches.createReport()
  return {
    isLeaving,
    delayMs,
    hasStore: knowledge.hasStore,
    positions: knowledge.positions,
    revision,
    lease: orders.lease.snapshot(),
    loads: caches.fetchLoads(),
    sums: peers.loadProtocol.sums(directory.all().map(({ hash }) => hash)),
    quarantines: crashes.quarantinesToAnnounce(),
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

export function applyPeerMessage (parts: HeartbeatParts, { address, lease, quarantines, named, current, speeds, limits, brittle, ...caches }: PeerMessage): void {
  const { exchanges, peers, orders, crashes } = parts
  exchanges.setInstanceCount(peers.count())
  exchanges.limits.applyUpdates(limits)
  exchanges.brittle.applyUpdates(brittle)
  crashes.applyQuarantines(quarantines)
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
