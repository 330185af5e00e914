/** Load of a soak: resumable streams of some seconds, which run on while instances, servers and the configuration change. */
import { waitUntil, type Random } from 'foxtaillever-core'
import { createRoute, MODEL, Path, PLAIN, promptHeaders, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { BackendServer, PlatformDeployment } from 'foxtaillever-standins'
import type { TimedRequest } from './cutStreams.js'
import { ReadyInstances } from './readyInstances.js'
import type { SoakFleet } from './soakFleet.js'

const PATH = '/long/'

/** Services among which the route splits its streams, and how many engines each has. */
export const LONG_SERVICES = { long: 3, 'long-b': 2 }

/** Routes that no request uses, as an operator's configuration has them. */
const IDLE_ROUTES = 40

/** An engine that has streams of seconds open for all instances. */
const SLOTS = 32
const ENGINE = { slots: SLOTS, maxWaiting: SLOTS, memoryTokens: 400_000, stepMs: 60 }

/** Events of a stream; at a step of 60 ms it lasts 1.5 to 11 s. */
const MIN_EVENTS = 25
const MAX_EVENTS = 179

/** Most streams are short: the number of events is drawn this often and the smallest taken. */
const DRAWS = 2

/** From the entry that says that an engine leaves to the end of the entry, milliseconds. */
const DRAIN_MS = 3000

const TIMEOUT_MS = 20_000
const OBJECTIVE_MS = 400
const PAUSE_OBJECTIVE_MS = 300

/** Share of callers that read at a tenth of the pace of their stream, and the time between two reads, milliseconds. */
const SLOW_SHARE = 0.2
const SLOW_READ_MS = 600

async function addLongEngine (platform: PlatformDeployment, service: string, name: string, zone: string, weights: number, softwareVersion: string): Promise<BackendServer> {
  const { server } = await platform.addEngine(name, service, zone, { [MODEL]: weights }, ENGINE, softwareVersion)
  return server
}

export async function addLongEngines (platform: PlatformDeployment, hasOwnVersions: boolean): Promise<void> {
  for (const [service, count] of Object.entries(LONG_SERVICES)) {
    for (let index = 0; index < count; index += 1) {
      await addLongEngine(platform, service, `${service}-${index}`, ZONES[index % ZONES.length] ?? '', 1, hasOwnVersions ? `${service}-v${index}` : 'v1')
    }
  }
}

/** Replaces the longest running engine of a service that does not leave yet. Its entry goes away while it still has streams, which it finishes. */
export async function replaceLongEngine ({ platform, operator, clock }: SoakFleet, service: string, softwareVersion: string): Promise<void> {
  const leaving = platform.servers.find(({ options: { name }, isLeaving }) => !isLeaving && new RegExp(`^${service}-\\d+$`).test(name))
  if (!leaving) {
    return
  }
  await addLongEngine(platform, service, `${service}-${platform.servers.length}`, ZONES[platform.servers.length % ZONES.length] ?? '', operator.weights, softwareVersion)
  operator.drain(leaving)
  await waitUntil(clock, clock.now() + DRAIN_MS)
  platform.remove(leaving)
}

/** Route, services and limits of long streams. The weights of the split, the time limit and the limits of connections change with each revision. */
export function longStreamSettings (revision: number): { readonly route: object, readonly services: readonly object[], readonly idleRoutes: readonly object[], readonly limits: object } {
  const split = Object.keys(LONG_SERVICES).map((service, index) => ({ service, weight: index === 0 ? 9 : 1 + revision % 5 }))
  return {
    route: { ...createRoute(Path.Stream, 'stream', ''), name: PATH, path_prefix: PATH, split, sticky: true, resumable: true, max_attempts: 2, timeout_ms: TIMEOUT_MS + revision % 2 * 1000, target_latency_ms: OBJECTIVE_MS, gap_target_ms: PAUSE_OBJECTIVE_MS },
    services: Object.keys(LONG_SERVICES).map(name => ({ name, health_path: '/health', max_conns: revision % 4 === 1 ? 300 : 500, engine: { slots: SLOTS, kv_capacity_tokens: ENGINE.memoryTokens, max_inflight: SLOTS } })),
    idleRoutes: Array.from({ length: IDLE_ROUTES }, (_, index) => ({ ...createRoute(Path.Added, 'idempotent', PLAIN), name: `idle-${index}`, path_prefix: `/idle/${revision}/${index}/` })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 5000 - revision % 3 * 2000, idle_timeout_ms: 10_000 - revision % 3 * 4000 }
  }
}

export class LongStreams {
  readonly ended: TimedRequest[] = []
  private readonly ready: ReadyInstances
  private nextNumber = 0

  private constructor (private readonly fleet: SoakFleet, private readonly random: Random) {
    this.ready = ReadyInstances.create(fleet)
  }

  static create (fleet: SoakFleet, random: Random): LongStreams {
    return new LongStreams(fleet, random)
  }

  /** Sends streams to all ready instances in turn, until the time; then waits until all have ended. */
  async sendUntil (until: number, intervalMs: number): Promise<void> {
    const { clock } = this.fleet
    const pending = [this.ready.checkUntil(until)]
    while (clock.now() < until) {
      pending.push(this.send())
      await waitUntil(clock, clock.now() + intervalMs)
    }
    await Promise.all(pending)
  }

  private async send (): Promise<void> {
    const { fleet: { instances, clock, caller }, random } = this
    const id = `long-${this.nextNumber++}`
    const instance = this.ready.take()
    const sentAt = clock.now()
    const events = Math.min(...Array.from({ length: DRAWS }, () => MIN_EVENTS + random.below(MAX_EVENTS - MIN_EVENTS + 1)))
    const readEveryMs = random.next() < SLOW_SHARE ? SLOW_READ_MS : undefined
    const reply = await caller.send({ address: instances[instance]?.address ?? '', id, path: `${PATH}x`, key: 'key-acme', headers: promptHeaders(id, events), patienceMs: TIMEOUT_MS, readEveryMs })
    this.ended.push({ id, instance, sentAt, endedAt: clock.now(), deadline: sentAt + TIMEOUT_MS, reply })
  }
}
