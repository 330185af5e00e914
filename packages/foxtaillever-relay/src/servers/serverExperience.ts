/**
 * What requests have shown of backend servers and their services: how long answers
 * usually take, how fast engines read, who fails, who is not there, and whose kept
 * connections are not to be trusted.
 */
import { PrefillSpeed } from 'foxtaillever-policy/relay/prefillSpeed'
import { ServerHealth } from 'foxtaillever-policy/relay/serverHealth'
import { UsualTime } from 'foxtaillever-policy/relay/usualTime'
import type { KnownServer } from './knownServer.js'

/**
 * How long kept connections are not trusted after one of them failed, milliseconds:
 * servers that send second answers or drop idle connections do so for seconds, and
 * all connections that were kept then have run out, twice over.
 */
const DISTRUSTED_MS = 10_000

/**
 * Servers, or what lies between, may forget connections that rest, from 300 ms on,
 * and whatever is sent next on one is lost. A connection less rested than this is
 * likely good, milliseconds.
 */
const RESTED_MS = 250

/**
 * The list names a server that crashed for three heartbeats more, while another
 * starts at its address within one. Whoever is found there says who it is; taken
 * back after this in case it was the wrong word of a faulty one, milliseconds.
 */
const DISPLACED_MS = 4000

/** Where nobody listens a process has ended; the next is there within a second or some, milliseconds. */
const ABSENT_MS = 300

export class ServerExperience {
  /** All servers of a service together. */
  private readonly serviceHealth = new Map<string, ServerHealth>()
  /** Until when kept connections to a service's servers are not trusted, milliseconds of Unix time. */
  private readonly distrustedUntil = new Map<string, number>()
  private readonly usualTimes = new Map<string, UsualTime>()
  /** By service. */
  readonly prefillSpeeds = new Map<string, PrefillSpeed>()

  private constructor () {}

  static create (): ServerExperience {
    return new ServerExperience()
  }

  /** How long requests of a route usually wait for the beginning of their answer. */
  usualTimeOf (route: string): UsualTime {
    let usual = this.usualTimes.get(route)
    if (!usual) {
      usual = UsualTime.create()
      this.usualTimes.set(route, usual)
    }
    return usual
  }

  /** How fast the engines of a service read prompts; others may tell of one that is not configured here yet. */
  prefillSpeedOf (service: string): PrefillSpeed {
    let speed = this.prefillSpeeds.get(service)
    if (!speed) {
      speed = PrefillSpeed.create()
      this.prefillSpeeds.set(service, speed)
    }
    return speed
  }

  /** What the faults and the slowness of a server make a request there cost, milliseconds. */
  faultCostOf ({ listed, health }: KnownServer, now: number): number {
    return health.cost(now, this.healthOf(listed.service).faultShare(now))
  }

  /** @param ms time until the answer began. */
  observeSuccess (server: KnownServer, route: string, ms: number, now: number): void {
    const usual = this.usualTimeOf(route)
    const ratio = usual.ratioOf(ms)
    usual.addSample(ms)
    this.observeOutcome(server, health => health.recordSuccess(now, ratio))
  }

  observeFault (server: KnownServer, now: number): void {
    this.observeOutcome(server, health => health.recordFailure(now))
  }

  /**
   * A request failed for what came before it on its connection. A server that
   * sends an answer too many does so late, when the next request waits for one,
   * so nothing shows it in time; a new connection has no past. A request that
   * may run once fails for good by it, which costs more than a connection.
   */
  distrustKept (service: string, now: number): void {
    this.distrustedUntil.set(service, now + DISTRUSTED_MS)
  }

  /** Connections that have rested so long are not for requests that may run once, milliseconds. */
  leastRestedMs (service: string, now: number): number {
    return now < (this.distrustedUntil.get(service) ?? 0) ? 0 : RESTED_MS
  }

  /** Another server answered at its address. */
  observeDisplaced (server: KnownServer, now: number): void {
    server.displacedUntil = Math.max(server.displacedUntil, now + DISPLACED_MS)
  }

  /** A connection to its address was refused. */
  observeAbsent (server: KnownServer, now: number): void {
    server.absentUntil = now + ABSENT_MS
  }

  private observeOutcome ({ listed, health }: KnownServer, count: (health: ServerHealth) => void): void {
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
