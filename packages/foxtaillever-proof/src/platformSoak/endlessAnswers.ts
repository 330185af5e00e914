/** Makes servers of a soak answer without end, one after the other, and checks that nothing of it is left. */
import { waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { EndlessAnswer } from 'foxtaillever-standins'
import type { SoakFleet } from './soakFleet.js'

/** A comment is passed on to the caller, where the checks of events would take it for one. */
const kinds = Object.values(EndlessAnswer).filter(kind => kind !== EndlessAnswer.Comments)

/** How long a server answers without end, and the time until the next one does, at most, milliseconds. */
const MAX_DURATION_MS = 1500
const MAX_INTERVAL_MS = 1500

/** Share of servers whose reports, orders and health probes don't end either. */
const CALLS_SHARE = 0.3

/** From the end of the load until no connection may be open, milliseconds: callers wait for 4 s at most. */
const MAX_OPEN_MS = 5000

export interface EndlessAnswerOptions {
  readonly fleet: SoakFleet
  readonly clock: Clock
  /** Own to this disturbance, so that the other faults of a seed are drawn as without it. */
  readonly random: Random
  readonly endsAt: number
}

/** Returns how many answers without end were begun, by kind. */
export async function answerWithoutEnd ({ fleet, clock, random, endsAt }: EndlessAnswerOptions): Promise<Readonly<Record<string, number>>> {
  const begun: Record<string, number> = {}
  while (clock.now() < endsAt) {
    const { servers } = fleet.platform
    const server = servers[random.below(servers.length)]
    const kind = kinds[random.below(kinds.length)]
    if (server && kind) {
      const before = server.endless.begun
      server.endlessRequests = kind
      server.endlessCalls = random.next() < CALLS_SHARE ? kind : undefined
      await waitUntil(clock, clock.now() + random.below(MAX_DURATION_MS))
      server.endlessRequests = server.endlessCalls = undefined
      begun[kind] = (begun[kind] ?? 0) + server.endless.begun - before
    }
    await waitUntil(clock, clock.now() + random.below(MAX_INTERVAL_MS))
  }
  return begun
}

/** Connections with bytes that don't end and that an instance still reads, each server as a sentence. */
export async function endlessViolations ({ fleet, clock, endsAt }: EndlessAnswerOptions): Promise<string[]> {
  await waitUntil(clock, endsAt + MAX_OPEN_MS)
  return fleet.platform.servers.flatMap(({ id, endless }) => endless.open > 0 ? [`${id} has ${endless.open} connections open on which its answer does not end`] : [])
}
