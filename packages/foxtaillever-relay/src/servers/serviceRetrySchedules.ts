/**
 * Gives retry times to callers refused because no server of a service accepts requests
 * now: spread one after the other, starting when the first server accepts requests again.
 */
import type { Clock } from 'foxtaillever-core'
import { RetrySchedule } from 'foxtaillever-policy/limits/retrySchedule'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'
import { availableFrom } from './serverAvailability.js'

/** Retries a second that each instance directs to a server after its backoff, until the server has accepted one. */
const RETRIES_AFTER_BACKOFF_PER_S = 10

export interface ServiceRetrySchedulesOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'ready'>
  /** Requests a second that the server accepts from all instances together; undefined if it stated no limit. */
  readonly limitOf: (server: KnownServer) => number | undefined
  readonly instances: () => number
}

export class ServiceRetrySchedules {
  /** By service. */
  private readonly schedules = new Map<string, RetrySchedule>()

  private constructor (private readonly options: ServiceRetrySchedulesOptions) {}

  static create (options: ServiceRetrySchedulesOptions): ServiceRetrySchedules {
    return new ServiceRetrySchedules(options)
  }

  /**
   * Milliseconds of Unix time; undefined if no server has stated when it accepts requests again, or if one accepts them now.
   * @param softwareVersion of the servers that count; undefined for all.
   */
  nextRetryAt (service: string, softwareVersion?: string): number | undefined {
    const { clock, directory, limitOf, instances } = this.options
    const now = clock.now()
    const ready = directory.ready(service).filter(({ listed }) => softwareVersion === undefined || listed.softwareVersion === softwareVersion)
    const closed = ready.filter(({ stated, limitedUntil }) => Math.max(stated.opensAt, limitedUntil) > now)
    if (closed.length === 0 || ready.some(server => availableFrom(server) <= now)) {
      return undefined
    }
    const perSecond = closed.reduce((sum, server) => sum + (limitOf(server) ?? RETRIES_AFTER_BACKOFF_PER_S * instances()), 0)
    const schedule = this.schedules.get(service) ?? RetrySchedule.create()
    this.schedules.set(service, schedule)
    return schedule.nextRetryAt(Math.min(...closed.map(availableFrom)), instances() * 1000 / perSecond, now)
  }
}
