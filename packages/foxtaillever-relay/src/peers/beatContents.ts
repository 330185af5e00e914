/** What an instance tells of itself with its beats, and what it takes from those of others. */
import type { Clock } from 'foxtaillever-core'
import type { CrashSuspects } from '../exchange/crashSuspects.js'
import type { ExchangeDesk } from '../exchange/exchangeDesk.js'
import type { Knowledge } from '../knowledge/knowledge.js'
import type { OrderOffice } from '../weights/orderOffice.js'
import type { PeerMessage } from './peerMessage.js'
import type { OwnWord, Peers } from './peers.js'
import type { WeightsNotice } from './weightsNotice.js'

/** Parts of an instance that beats are about. */
export interface BeatParts {
  readonly clock: Clock
  readonly desk: ExchangeDesk
  readonly suspects: CrashSuspects
  readonly peers: Peers
  readonly knowledge: Knowledge
  readonly office: OrderOffice
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
    lease: office.lease.news(),
    uses: caches.uses(),
    sums: peers.loads.sums(directory.all().map(({ hash }) => hash)),
    suspects: suspects.toTell(clock.now()),
    ...caches.word(),
    named: office.desk.ages(),
    current: office.desk.current(),
    speeds: directory.speedsToTell(),
    limits: limits.news()
  }
}

export function takePeerMessage (parts: BeatParts, { address, lease, suspects, named, current, speeds, limits, ...caches }: PeerMessage): void {
  const { clock, desk, peers, office } = parts
  desk.observeInstances(peers.count())
  desk.limits.hear(limits)
  parts.suspects.hear(suspects, clock.now())
  desk.caches.hear(address, caches)
  takeWeightsNotice(office, { news: [], lease })
  speeds.forEach(({ service, ...word }) => desk.directory.experience.prefillSpeedOf(service).adoptReport(word))
  named.forEach(news => office.desk.observeNamed(news))
  current.forEach(news => office.desk.observeCurrent(news))
}

export function takeWeightsNotice ({ lease: own, desk }: OrderOffice, { news, lease }: WeightsNotice): void {
  if (lease) {
    own.observe(lease)
  }
  news.forEach(one => desk.observe(one))
}
