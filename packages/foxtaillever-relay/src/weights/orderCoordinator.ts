/** Creates the parts of an instance that order engines to change weights: the lease and the rollout. */
import { randomUUID } from 'node:crypto'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import { readWallClockSeconds } from '../knowledge/suspensionDetector.js'
import { Suspicion } from '../links/linkCheck.js'
import type { LinkMonitor } from '../links/linkMonitor.js'
import type { Peers } from '../peers/peers.js'
import type { RelayOptions } from '../relayOptions.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { OrderAnswer, type EngineOrders } from './engineOrders.js'
import { leaseHolderOf } from './leaseHolder.js'
import { OrderLease } from './orderLease.js'
import { LAST_RANK, orderRank } from './orderRank.js'
import { ProxiedFenceLog } from './proxiedFenceLog.js'
import { WeightsRollout } from './weightsRollout.js'

type OwnOptions = Pick<RelayOptions, 'clock' | 'random' | 'name' | 'fenceLog' | 'engineOrders' | 'leasePauseMs'>

export interface OrderCoordinatorOptions extends OwnOptions {
  readonly topic: string
  readonly directory: ServerDirectory
  readonly peers: Peers
  readonly log: RelayLog
  /** Whether this instance reaches the platform's store and is not leaving. */
  readonly isEligible: () => boolean
  readonly links: Pick<LinkMonitor, 'state' | 'isBrokenLastingly' | 'suspect'>
  /** A call to the store failed. */
  readonly onStoreFailed: () => void
}

export interface OrderCoordinator {
  readonly lease: OrderLease
  readonly rollout: WeightsRollout
}

export function createOrderCoordinator (options: OrderCoordinatorOptions): OrderCoordinator {
  const { clock, name, directory, peers, log, links, isEligible } = options
  const reachesServers = (): boolean => !links.isBrokenLastingly || !peers.alive().some(peer => peer.hasStore && peer.links < links.state)
  const lease = createLease(options)
  const rollout = WeightsRollout.create({
    clock,
    holder: name,
    directory,
    lease,
    reachesServers,
    orders: watchLinks(options),
    log,
    rank: () => isEligible() && reachesServers() ? orderRank(leaseHolderOf({ name, address: peers.address }), eligiblePeers(peers).map(leaseHolderOf), lease.lastHolder) : LAST_RANK,
    outstandingAt: ({ outstanding, hash }) => outstanding + peers.fleetLoad.of(hash).outstanding,
    waitMsAt: server => (server.unreadTokens + peers.fleetLoad.of(server.hash).tokens) / directory.observations.tokensPerMsOf(server),
    announce: updates => peers.announceWeights(updates)
  })
  return { lease, rollout }
}

/** An engine that does not answer may be out of reach from here only. */
function watchLinks ({ clock, engineOrders, links }: Pick<OrderCoordinatorOptions, 'clock' | 'engineOrders' | 'links'>): EngineOrders {
  const suspect = (engine: KnownServer): void => links.suspect(engine, Suspicion.Unresponsive, clock.now())
  return {
    report: async engine => (await engineOrders.report(engine)).ifLeft(() => suspect(engine)),
    order: async (engine, order) => {
      const answer = await engineOrders.order(engine, order)
      if (answer.map(given => given === OrderAnswer.Unknown).orDefault(true)) {
        suspect(engine)
      }
      return answer
    }
  }
}

function eligiblePeers (peers: Peers): ReturnType<Peers['alive']> {
  return peers.alive().filter(({ hasStore, links }) => hasStore && links !== LinkState.Cut)
}

function createLease ({ clock, random, name, fenceLog, leasePauseMs, topic, peers, log, onStoreFailed }: OrderCoordinatorOptions): OrderLease {
  const proxiedLog = ProxiedFenceLog.create({
    clock,
    random,
    own: fenceLog,
    proxies: () => peers.alive().filter(({ hasStore }) => hasStore).map(({ address }) => address),
    through: address => peers.link.proxiedLog(address),
    onFailed: onStoreFailed
  })
  return OrderLease.create({
    clock,
    uptime: readWallClockSeconds,
    log: proxiedLog,
    topic,
    holder: leaseHolderOf({ name, address: peers.address }),
    incarnation: randomUUID(),
    pauseMs: leasePauseMs,
    onChanged: ({ offset }) => {
      log.belief('Holds the lease on orders.', { fence: offset })
      // An instance that missed a renewal would request the lease too early, learn of the renewal then, and wait again.
      peers.announceWeights([])
    },
    onReleased: () => {
      log.belief('Gave up the lease on orders.', {})
      peers.announceWeights([])
    }
  })
}
