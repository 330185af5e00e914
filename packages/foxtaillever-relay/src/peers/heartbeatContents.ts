/** Builds what an instance reports about itself in its heartbeats, and applies the heartbeats of other instances. */
import type { Clock } from 'foxtaillever-core'
import type { CrashSuspects } from '../exchange/crashSuspects.js'
import type { ExchangeDesk } from '../exchange/exchangeDesk.js'
import type { Knowledge } from '../knowledge/knowledge.js'
import type { OrderOffice } from '../weights/orderOffice.js'
import type { PeerMessage } from './peerMessage.js'
import type { OwnReport, Peers } from './peers.js'
import type { WeightsNotice } from './weightsNotice.js'

/** Components of an instance that heartbeats read and update. */
export interface HeartbeatParts {
  readonly clock: Clock
  readonly exchanges: ExchangeDesk
  readonly suspects: CrashSuspects
  readonly peers: Peers
  readonly knowledge: Knowledge
  readonly orders: OrderOffice
  readonly isLeaving: boolean
  /** Revision of the configuration in force; -1 before the first. */
  readonly revision: number
}

export function createOwnReport ({ clock, exchanges, suspects, peers, knowledge, orders, isLeaving, revision }: HeartbeatParts): OwnReport {
  const { directory, caches, limits } = exchanges
  return {
    isLeaving,
    hasStore: knowledge.hasStore,
    positions: knowledge.positions,
    revision,
    lease: orders.lease.news(),
    uses: caches.uses(),
    sums: peers.loadProtocol.sums(directory.all().map(({ hash }) => hash)),
    suspects: suspects.toTell(clock.now()),
    ...caches.word(),
    named: orders.desk.ages(),
    current: orders.desk.current(),
    speeds: directory.speedsToTell(),
    limits: limits.news()
  }
}

export function applyPeerMessage (parts: HeartbeatParts, { address, lease, suspects, named, current, speeds, limits, ...caches }: PeerMessage): void {
  const { clock, exchanges, peers, orders } = parts
  exchanges.observeInstances(peers.count())
  exchanges.limits.hear(limits)
  parts.suspects.hear(suspects, clock.now())
  exchanges.caches.hear(address, caches)
  applyWeightsNotice(orders, { updates: [], lease })
  speeds.forEach(({ service, ...speed }) => exchanges.directory.experience.prefillSpeedOf(service).hear(speed))
  named.forEach(update => orders.desk.observeNamed(update))
  current.forEach(update => orders.desk.observeCurrent(update))
}

export function applyWeightsNotice ({ lease: own, desk }: OrderOffice, { updates, lease }: WeightsNotice): void {
  if (lease) {
    own.observe(lease)
  }
  updates.forEach(update => desk.observe(update))
}
