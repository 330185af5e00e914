/** The parts of an instance by which it may give orders to engines: the lease and the desk. */
import { randomUUID } from 'node:crypto'
import { readWallSeconds } from '../knowledge/suspension.js'
import type { Peers } from '../peers/peers.js'
import type { RelayOptions } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LentFenceLog } from './lentFenceLog.js'
import { OrderLease } from './orderLease.js'
import { LAST_RANK, orderRank } from './orderRank.js'
import { WeightsDesk } from './weightsDesk.js'

type OwnOptions = Pick<RelayOptions, 'clock' | 'random' | 'name' | 'fenceLog' | 'engineOrders' | 'leasePauseMs'>

export interface OrderOfficeOptions extends OwnOptions {
  readonly topic: string
  readonly directory: ServerDirectory
  readonly peers: Peers
  readonly log: RelayLog
  /** The platform's store answers this instance, which does not leave. */
  readonly isFit: () => boolean
  /** A call to the store failed. */
  readonly onStoreFailed: () => void
}

export interface OrderOffice {
  readonly lease: OrderLease
  readonly desk: WeightsDesk
}

export function createOrderOffice (options: OrderOfficeOptions): OrderOffice {
  const { clock, name, directory, peers, log, engineOrders, isFit } = options
  const lease = createLease(options)
  const desk = WeightsDesk.create({
    clock,
    holder: name,
    directory,
    lease,
    orders: engineOrders,
    log,
    rank: () => isFit() ? orderRank(name, fitPeers(peers).map(peer => peer.name), lease.lastHolder) : LAST_RANK,
    outstandingAt: ({ outstanding, hash }) => outstanding + peers.fleetLoad.of(hash).outstanding,
    waitMsAt: ({ unreadTokens, hash, listed }) => (unreadTokens + peers.fleetLoad.of(hash).tokens) / directory.experience.prefillSpeedOf(listed.service).tokensPerMs,
    tell: news => peers.announceWeights(news)
  })
  return { lease, desk }
}

function fitPeers (peers: Peers): ReturnType<Peers['alive']> {
  return peers.alive().filter(({ hasStore }) => hasStore)
}

function createLease ({ clock, random, name, fenceLog, leasePauseMs, topic, peers, log, onStoreFailed }: OrderOfficeOptions): OrderLease {
  const lentLog = LentFenceLog.create({
    clock,
    random,
    own: fenceLog,
    lenders: () => fitPeers(peers).map(({ address }) => address),
    through: address => peers.link.proxiedLog(address),
    onFailed: onStoreFailed
  })
  return OrderLease.create({
    clock,
    uptime: readWallSeconds,
    log: lentLog,
    topic,
    holder: name,
    incarnation: randomUUID(),
    pauseMs: leasePauseMs,
    onChanged: ({ offset }) => {
      log.belief('Holds the lease on orders.', { fence: offset })
      // Whoever missed a renewal would ask too early, learn of it then, and wait anew.
      peers.announceWeights([])
    },
    onReleased: () => {
      log.belief('Gave up the lease on orders.', {})
      peers.announceWeights([])
    }
  })
}
