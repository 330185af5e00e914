/**
 * Tells refused callers when to retry at a service of which no server accepts requests
 * now: one caller after the other, starting when the first server accepts requests again.
 */
import type { Clock } from 'foxtaillever-core'
import { ReturnTurns } from 'foxtaillever-policy/limits/returnTurns'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'
import { availableFrom } from './serverAvailability.js'

/** Retries a second that each instance directs to a server after its backoff, until the server has accepted one. */
const RETRIES_AFTER_BACKOFF_PER_S = 10

export interface RetryScheduleOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'ready'>
  /** Requests a second that the server accepts from all instances together; undefined if it stated no limit. */
  readonly limitOf: (server: KnownServer) => number | undefined
  readonly instances: () => number
}

export class RetrySchedule {
  /** By service. */
  private readonly turns = new Map<string, ReturnTurns>()

  private constructor (private readonly options: RetryScheduleOptions) {}

  static create (options: RetryScheduleOptions): RetrySchedule {
    return new RetrySchedule(options)
  }

  /** Milliseconds of Unix time; undefined if no server has stated when it accepts requests again, or if one accepts them now. */
  nextRetryAt (service: string): number | undefined {
    const { clock, directory, limitOf, instances } = this.options
    const now = clock.now()
    const ready = directory.ready(service)
    const closed = ready.filter(({ stated, limitedUntil }) => Math.max(stated.opensAt, limitedUntil) > now)
    if (closed.length === 0 || ready.some(server => availableFrom(server) <= now)) {
      return undefined
    }
    const perSecond = closed.reduce((sum, server) => sum + (limitOf(server) ?? RETRIES_AFTER_BACKOFF_PER_S * instances()), 0)
    const turns = this.turns.get(service) ?? ReturnTurns.create()
    this.turns.set(service, turns)
    return turns.next(Math.min(...closed.map(availableFrom)), instances() * 1000 / perSecond, now)
  }
}
