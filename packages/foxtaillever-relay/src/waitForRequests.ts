/** The time of a graceful shutdown in which requests are still accepted and answered. */
import { waitUntil, type Clock } from 'foxtaillever-core'

/** How long a shutdown still accepts connections, milliseconds: the load balancer notices within two seconds that the instance is not ready. */
const STOP_LISTENING_MS = 2600

/** How often a shutdown checks whether the last answer is written out, milliseconds. */
const SHUTDOWN_POLL_MS = 50

/** Share of the grace period that is reserved for the process to end: a quarter of a second of eight, ten times what it takes. */
const GRACE_RESERVE_SHARE = 0.03

export interface ClosingInstance {
  readonly clock: Clock
  /** Time until the process is killed, milliseconds. */
  readonly graceMs: number
  /** Resolves when the requests that have arrived are read. */
  readonly stopListening: () => Promise<void>
  /** Number of requests in flight, and of answers that are not written out. */
  readonly unanswered: () => number
}

/** When a shutdown fails what is in flight, so that the process ends within its grace period; milliseconds of Unix time. */
export function endOfShutdown (startedAt: number, graceMs: number): number {
  return startedAt + graceMs * (1 - GRACE_RESERVE_SHARE)
}

/** Serves until the load balancer has noticed that the instance is not ready and the last answer is written out, or the time is up. */
export async function waitForRequests ({ clock, graceMs, stopListening, unanswered }: ClosingInstance): Promise<void> {
  const until = endOfShutdown(clock.now(), graceMs)
  await waitUntil(clock, Math.min(until, clock.now() + STOP_LISTENING_MS))
  await stopListening()
  while (unanswered() > 0 && clock.now() < until) {
    await waitUntil(clock, Math.min(until, clock.now() + SHUTDOWN_POLL_MS))
  }
}
