/**
 * Current state of an instance: a summary for each failure's log line, so that
 * its cause can be determined from that line, and a full dump on request.
 */
import type { Clock } from 'foxtaillever-core'
import type { Metrics, Subject } from 'foxtaillever-telemetry'
import type { StoreReplica } from '../knowledge/storeReplica.js'
import { formatPosition } from '../knowledge/storePosition.js'
import type { Routing } from '../model/routing.js'
import type { Peers } from '../peers/peers.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import { availableFrom } from '../servers/serverAvailability.js'
import type { OrderLease } from '../weights/orderLease.js'

export interface RelayStateOptions {
  readonly name: string
  readonly clock: Clock
  readonly routing: () => Routing | undefined
  readonly directory: ServerDirectory
  readonly peers: () => Peers
  readonly knowledge: () => StoreReplica
  readonly lease: () => OrderLease
  /** Number of requests that are not yet answered. */
  readonly open: () => number
  readonly isReady: () => boolean
  /** Since when this instance has been shutting down, milliseconds of Unix time; undefined while it is not. */
  readonly leavingSince: () => number | undefined
}

export class RelayState {
  private constructor (private readonly options: RelayStateOptions) {}

  static create (options: RelayStateOptions): RelayState {
    return new RelayState(options)
  }

  /** Summary for a failure: the configuration's revision, and the servers that could have taken the request. */
  summarize (service?: string): Subject {
    const { clock, routing, directory, knowledge, leavingSince } = this.options
    const since = leavingSince()
    const common = { revision: routing()?.revision, store: knowledge().hasStore ? 'answers' : 'dark', listAgeMs: this.listAgeMs, ...(since === undefined ? {} : { leavingMs: Math.round(clock.now() - since) }) }
    if (service === undefined) {
      return common
    }
    const ready = directory.ready(service)
    return {
      ...common,
      service,
      ready: ready.length,
      places: ready.reduce((sum, { listed }) => sum + listed.slots, 0),
      outstanding: ready.reduce((sum, server) => sum + server.outstanding, 0),
      worstFaultShare: Number(Math.max(0, ...ready.map(({ health }) => health.faultShare(clock.now()))).toFixed(2))
    }
  }

  /** Age of the list of servers, milliseconds; undefined if it was never read, or may be stale since this machine stood still. */
  private get listAgeMs (): number | undefined {
    const { clock, knowledge } = this.options
    const { serversKnownAt } = knowledge()
    return serversKnownAt > 0 ? Math.round(clock.now() - serversKnownAt) : undefined
  }

  /** The full state for an operator, without secrets. */
  dump (): object {
    const { name, clock, routing, directory, peers, knowledge, lease, open, isReady } = this.options
    const now = clock.now()
    const { revision, routes = [], accounts = [] } = routing() ?? {}
    const { operators, servers: read } = knowledge().positions
    return {
      name,
      at: new Date(now).toISOString(),
      isReady: isReady(),
      open: open(),
      configuration: { revision, routes: routes.map(route => route.name), accounts: accounts.map(account => account.name) },
      store: { answers: knowledge().hasStore, listAgeMs: this.listAgeMs, era: knowledge().storeEra, positions: { operators: formatPosition(operators), servers: formatPosition(read) } },
      lease: { isHeld: lease().fence() !== undefined, ...lease().snapshot() },
      servers: directory.all().map(server => this.describe(server, now)),
      reading: Object.fromEntries([...directory.observations.prefillSpeeds].map(([service, { tokensPerMs, samples }]) => [service, { tokensPerMs, samples }])),
      instances: peers().table.all().map(({ address, lastMessage, receivedAt }) => ({ address, name: lastMessage?.name, failureDomain: lastMessage?.failureDomain, heardMsAgo: now - receivedAt }))
    }
  }

  private describe (server: KnownServer, now: number): object {
    const { listed, weights, outstanding, health, changingUntil, offset, speed } = server
    const opensInMs = availableFrom(server) - now
    return {
      ...listed,
      weights: Object.fromEntries(weights),
      outstanding,
      position: formatPosition(offset),
      faultShare: health.faultShare(now),
      speed,
      changingMs: Math.max(0, changingUntil - now),
      opensInMs: Number.isFinite(opensInMs) ? Math.max(0, Math.round(opensInMs)) : undefined
    }
  }

  /** Registers gauges whose values are read whenever the metrics are. */
  registerGauges (metrics: Metrics): void {
    const { routing, directory, peers, knowledge, lease, open, isReady } = this.options
    metrics.gauge('ready', () => Number(isReady()))
    metrics.gauge('open_requests', open)
    metrics.gauge('configuration_revision', () => routing()?.revision ?? -1)
    metrics.gauge('known_servers', () => directory.all().length)
    metrics.gauge('admission_queue', () => peers().admission.queueSize)
    metrics.gauge('known_instances', () => peers().count())
    metrics.gauge('prefill_tokens_per_ms', () => Math.round([...directory.observations.prefillSpeeds.values()].at(0)?.tokensPerMs ?? 0))
    metrics.gauge('store_answers', () => Number(knowledge().hasStore))
    metrics.gauge('store_era', () => knowledge().storeEra)
    metrics.gauge('server_list_age_ms', () => this.listAgeMs ?? -1)
    metrics.gauge('lease_held', () => Number(lease().fence() !== undefined))
    metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  }
}
