/**
 * When callers may come back to a service none of whose servers takes requests now:
 * when the first one does, one caller after the other.
 */
import type { Clock } from 'foxtaillever-core'
import { RetrySchedule } from 'foxtaillever-policy/limits/retrySchedule'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'
import { opensAt } from './serverOpening.js'

/** Callers that each instance sends back to a server after its rest, a second, until it has taken one. */
const AFTER_REST_PER_S = 10

export interface ServiceReturnsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'ready'>
  /** Requests a second that the server takes from all instances together; undefined where it stated no limit. */
  readonly limitOf: (server: KnownServer) => number | undefined
  readonly instances: () => number
}

export class ServiceReturns {
  /** By service. */
  private readonly turns = new Map<string, RetrySchedule>()

  private constructor (private readonly options: ServiceReturnsOptions) {}

  static create (options: ServiceReturnsOptions): ServiceReturns {
    return new ServiceReturns(options)
  }

  /** Milliseconds of Unix time; undefined where no server has said when it takes requests again, or one takes them now. */
  returnAt (service: string): number | undefined {
    const { clock, directory, limitOf, instances } = this.options
    const now = clock.now()
    const ready = directory.ready(service)
    const stated = ready.filter(({ stated, limitedUntil }) => Math.max(stated.opensAt, limitedUntil) > now)
    if (stated.length === 0 || ready.some(server => opensAt(server) <= now)) {
      return undefined
    }
    const perSecond = stated.reduce((sum, server) => sum + (limitOf(server) ?? AFTER_REST_PER_S * instances()), 0)
    const turns = this.turns.get(service) ?? RetrySchedule.create()
    this.turns.set(service, turns)
    return turns.nextRetryAt(Math.min(...stated.map(opensAt)), instances() * 1000 / perSecond, now)
  }
}
