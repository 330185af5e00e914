/**
 * What requests have shown about backend servers and their services: how long answers
 * usually take, how fast engines process prompts, which servers fail or cannot be
 * reached, and which services' idle connections are not reliable.
 */
import { PrefillSpeed } from 'foxtaillever-policy/relay/prefillSpeed'
import { ServerHealth } from 'foxtaillever-policy/relay/serverHealth'
import { UsualTime } from 'foxtaillever-policy/relay/usualTime'
import type { KnownServer } from './knownServer.js'

/**
 * How long idle connections are not used after one of them failed, milliseconds.
 * Servers that send second answers or drop idle connections do so for seconds; this
 * is more than twice the time after which connections that were idle then have closed.
 */
const DISTRUSTED_MS = 10_000

/**
 * Servers, or devices on the way to them, may drop connections that have been idle for
 * 300 ms or more, and the next request on such a connection is lost. A connection that
 * has been idle for less than this is likely good, milliseconds.
 */
const TRUSTED_IDLE_MS = 250

/**
 * The list keeps a crashed server for three more heartbeats, while another server may
 * start at its address within one. A server found there states its id. The displacement
 * ends after this in case a faulty server stated a wrong id, milliseconds.
 */
const DISPLACED_MS = 4000

/** A refused connection means that a process has ended; the next one starts within about a second, milliseconds. */
const UNREACHABLE_MS = 300

export class ServerObservations {
  /** All servers of a service together. */
  private readonly serviceHealth = new Map<string, ServerHealth>()
  /** By service, until when idle connections to its servers are not used, milliseconds of Unix time. */
  private readonly distrustedUntil = new Map<string, number>()
  private readonly usualTimes = new Map<string, UsualTime>()
  /** By service. */
  readonly prefillSpeeds = new Map<string, PrefillSpeed>()

  private constructor () {}

  static create (): ServerObservations {
    return new ServerObservations()
  }

  /** How long requests of a route usually wait until their answer begins. */
  usualTimeOf (route: string): UsualTime {
    let usual = this.usualTimes.get(route)
    if (!usual) {
      usual = UsualTime.create()
      this.usualTimes.set(route, usual)
    }
    return usual
  }

  /** How fast the engines of a service process prompts. Other instances may report a service that is not configured here yet. */
  prefillSpeedOf (service: string): PrefillSpeed {
    let speed = this.prefillSpeeds.get(service)
    if (!speed) {
      speed = PrefillSpeed.create()
      this.prefillSpeeds.set(service, speed)
    }
    return speed
  }

  /** How fast a server processes prompts, tokens a millisecond: its own speed where it clearly differs from its service's. */
  tokensPerMsOf ({ speed, listed }: Pick<KnownServer, 'speed' | 'listed'>): number {
    return speed.tokensPerMs ?? this.prefillSpeedOf(listed.service).tokensPerMs
  }

  /** What a request to the server costs because of its faults and slowness, milliseconds. */
  faultCostOf ({ listed, health }: KnownServer, now: number): number {
    return health.cost(now, this.healthOf(listed.service).faultShare(now))
  }

  /** @param ms time until the answer began. */
  recordSuccess (server: KnownServer, route: string, ms: number, now: number): void {
    const usual = this.usualTimeOf(route)
    const ratio = usual.ratioOf(ms)
    usual.addSample(ms)
    this.recordOutcome(server, health => health.recordSuccess(now, ratio))
  }

  recordFault (server: KnownServer, now: number): void {
    this.recordOutcome(server, health => health.recordFailure(now))
  }

  /**
   * A request failed because of an earlier exchange on its connection. A server that
   * sends an extra answer sends it late, when the next request already waits for its
   * own, so it cannot be detected in time; a new connection has no earlier exchange. A
   * request that may run only once then fails without a retry, which costs more than
   * a new connection.
   */
  distrustIdleConnections (service: string, now: number): void {
    this.distrustedUntil.set(service, now + DISTRUSTED_MS)
  }

  /** Connections that have been idle for this long are not used for requests that may run only once, milliseconds. */
  trustedIdleMs (service: string, now: number): number {
    return now < (this.distrustedUntil.get(service) ?? 0) ? 0 : TRUSTED_IDLE_MS
  }

  /** Another server answered at its address. */
  recordDisplaced (server: KnownServer, now: number): void {
    server.displacedUntil = Math.max(server.displacedUntil, now + DISPLACED_MS)
  }

  /** A connection to its address was refused. */
  recordUnreachable (server: KnownServer, now: number): void {
    server.unreachableUntil = now + UNREACHABLE_MS
  }

  private recordOutcome ({ listed, health }: KnownServer, count: (health: ServerHealth) => void): void {
    count(health)
    count(this.healthOf(listed.service))
  }

  private healthOf (service: string): ServerHealth {
    let health = this.serviceHealth.get(service)
    if (!health) {
      health = ServerHealth.create()
      this.serviceHealth.set(service, health)
    }
    return health
  }
}
