/** Load of a soak: short requests on new and on kept connections to a server that falls silent for a moment while it works on some of them. */
import { hashNumber, waitUntil, type Random } from 'foxtaillever-core'
import { createRoute, Path, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { StallStage, type BackendServer, type PlatformDeployment, type StallPlan } from 'foxtaillever-standins'
import type { TimedRequest } from './cutStreams.js'
import { ReadyInstances } from './readyInstances.js'
import type { SoakFleet } from './soakFleet.js'

export const SILENT_SERVICE = 'silent'
const SHAPE = { workMs: 20, slots: Infinity, maxWaiting: 0 }

/** Paths of the load, and the kind of each route. */
const kinds = { '/silent/': 'idempotent', '/silent-once/': 'non_idempotent' }
const paths = Object.keys(kinds)

const TIMEOUT_MS = 5000

/** So short that every silence is longer, milliseconds. */
const OBJECTIVE_MS = 250

/** Later than any instance gives up on a request: callers leave a connection that stays without an answer, milliseconds. */
const CALLER_TIMEOUT_MS = 8000

/** Bounds of a silence, milliseconds. */
const MIN_SILENCE_MS = 800
const MAX_SILENCE_MS = 2000

export function silentServerSettings (): { readonly routes: readonly object[], readonly services: readonly object[] } {
  return {
    routes: Object.entries(kinds).map(([path, kind]) => ({ ...createRoute(Path.Repeatable, kind, SILENT_SERVICE), name: path, path_prefix: path, timeout_ms: TIMEOUT_MS, target_latency_ms: OBJECTIVE_MS, gap_target_ms: OBJECTIVE_MS })),
    services: [{ name: SILENT_SERVICE, health_path: '/health', max_conns: 500 }]
  }
}

export async function addSilentServer (platform: PlatformDeployment, index = 0): Promise<BackendServer> {
  return await platform.addPlain(`${SILENT_SERVICE}-${index}`, SILENT_SERVICE, ZONES[index % ZONES.length] ?? ZONES[0], SHAPE)
}

/** Draws for one in `interval` requests a silence; the request's id decides, so that a seed draws the same ones again. */
export function drawStalls (interval: number, stages: readonly StallStage[] = Object.values(StallStage), minMs = MIN_SILENCE_MS, maxMs = MAX_SILENCE_MS): (requestId: string) => StallPlan | undefined {
  return requestId => {
    const drawn = hashNumber(requestId)
    const stage = stages[Math.floor(drawn / interval) % stages.length]
    return drawn % interval === 0 && stage ? { stage, ms: minMs + hashNumber(requestId, 1) % (maxMs - minMs + 1) } : undefined
  }
}

export interface SilentServerLoadOptions {
  readonly fleet: SoakFleet
  readonly random: Random
  /** Begins the ids of all requests. */
  readonly name: string
  /** Share of requests that have a connection of their own. */
  readonly newConnections: number
}

export class SilentServerLoad {
  readonly ended: TimedRequest[] = []
  private readonly ready: ReadyInstances
  private sent = 0

  private constructor (private readonly options: SilentServerLoadOptions) {
    this.ready = ReadyInstances.create(options.fleet)
  }

  static create (options: SilentServerLoadOptions): SilentServerLoad {
    return new SilentServerLoad(options)
  }

  /** Sends requests to all ready instances in turn, until the time; then waits until all have ended. */
  async sendUntil (until: number, perSecond: number): Promise<void> {
    const { clock } = this.options.fleet
    const pending = [this.ready.checkUntil(until)]
    const beganAt = clock.now()
    for (let count = 0; clock.now() < until; count += 1) {
      // A late timer is made up for, so that a busy machine sends as many requests.
      await waitUntil(clock, beganAt + count * 1000 / perSecond)
      pending.push(this.send())
    }
    await Promise.all(pending)
  }

  /** Requests whose caller left after it had waited for longer than the time limit. */
  get neverAnswered (): readonly TimedRequest[] {
    return this.ended.filter(({ sentAt, endedAt, reply: { status } }) => status === 0 && endedAt >= sentAt + CALLER_TIMEOUT_MS)
  }

  private async send (): Promise<void> {
    const { fleet: { instances, clock, caller }, random, name, newConnections } = this.options
    const id = `${name}-${this.sent++}`
    const instance = this.ready.take()
    const sentAt = clock.now()
    const reply = await caller.send({
      address: instances[instance]?.address ?? '',
      id,
      path: `${paths[random.below(paths.length)]}x`,
      key: 'key-acme',
      method: random.next() < 0.5 ? 'GET' : 'POST',
      body: 'a body',
      patienceMs: TIMEOUT_MS,
      disconnectAfterMs: CALLER_TIMEOUT_MS,
      isNewConnection: random.next() < newConnections
    })
    this.ended.push({ id, instance, sentAt, endedAt: clock.now(), deadline: sentAt + TIMEOUT_MS, reply })
  }
}
