/** What an instance tells of itself with its beats, and what it takes from those of others. */
import type { Clock } from 'foxtaillever-core'
import type { CrashSuspects } from '../exchange/crashSuspects.js'
import type { ExchangeDispatcher } from '../exchange/exchangeDispatcher.js'
import type { StoreReplica } from '../knowledge/storeReplica.js'
import type { OrderCoordinator } from '../weights/orderCoordinator.js'
import type { PeerMessage } from './peerMessage.js'
import type { OwnWord, Peers } from './peers.js'
import type { WeightsNotice } from './weightsNotice.js'

/** Parts of an instance that beats are about. */
export interface BeatParts {
  readonly clock: Clock
  readonly desk: ExchangeDispatcher
  readonly suspects: CrashSuspects
  readonly peers: Peers
  readonly knowledge: StoreReplica
  readonly office: OrderCoordinator
  readonly isLeaving: boolean
  /** Of the configuration in force; -1 before the first. */
  readonly revision: number
}

export function createOwnWord ({ clock, desk, suspects, peers, knowledge, office, isLeaving, revision }: BeatParts): OwnWord {
  const { directory, caches, limits } = desk
  return {
    isLeaving,
    hasStore: knowledge.hasStore,
    positions: knowledge.positions,
    revision,
    lease: office.lease.snapshot(),
    uses: caches.fetchLoads(),
    sums: peers.loads.sums(directory.all().map(({ hash }) => hash)),
    suspects: suspects.factsToAnnounce(clock.now()),
    ...caches.createReport(),
    named: office.rollout.versionAges(),
    current: office.rollout.currentEngines(),
    speeds: directory.speedsToAnnounce(),
    limits: limits.updates()
  }
}

export function takePeerMessage (parts: BeatParts, { address, lease, suspects, named, current, speeds, limits, ...caches }: PeerMessage): void {
  const { clock, desk, peers, office } = parts
  desk.setInstanceCount(peers.count())
  desk.limits.applyUpdates(limits)
  parts.suspects.receiveFacts(suspects, clock.now())
  desk.caches.applyReport(address, caches)
  takeWeightsNotice(office, { news: [], lease })
  speeds.forEach(({ service, ...word }) => desk.directory.observations.prefillSpeedOf(service).hear(word))
  named.forEach(news => office.rollout.applyVersion(news))
  current.forEach(news => office.rollout.applyCurrentEngines(news))
}

export function takeWeightsNotice ({ lease: own, rollout: desk }: OrderCoordinator, { news, lease }: WeightsNotice): void {
  if (lease) {
    own.applySnapshot(lease)
  }
  news.forEach(one => desk.applyUpdate(one))
}
