/**
 * Feed of an engine's cache events: numbered within an incarnation, delayed by a
 * lag, some lost. Only the newest are kept.
 */
import type { CacheEvent, CacheEventPage, Clock, Random } from 'foxtaillever-core'
import type { EngineFaults } from './engineFaults.js'

/** Maximum number of events kept for late readers. */
const MAX_EVENTS = 4096

interface Published {
  readonly visibleAt: number
  readonly event: CacheEvent
}

export class CacheEventFeed {
  private published: Published[] = []
  private sequence = 0

  private constructor (private readonly clock: Clock, private readonly random: Random, private readonly faults: EngineFaults) {}

  static create (clock: Clock, random: Random, faults: EngineFaults): CacheEventFeed {
    return new CacheEventFeed(clock, random, faults)
  }

  /** Clears the feed for a new incarnation. */
  restart (): void {
    this.published = []
    this.sequence = 0
  }

  publish (event: Omit<CacheEvent, 'sequence' | 'madeAt'>): void {
    this.sequence += 1
    if (this.random.next() < this.faults.lostEventShare) {
      return
    }
    const madeAt = this.clock.now()
    this.published.push({ visibleAt: madeAt + this.faults.eventLagMs, event: { ...event, sequence: this.sequence, madeAt } })
    if (this.published.length > MAX_EVENTS) {
      this.published = this.published.slice(-MAX_EVENTS / 2)
    }
  }

  read (incarnation: string, after: number): CacheEventPage {
    const visible = this.published.filter(entry => entry.visibleAt <= this.clock.now())
    return {
      incarnation,
      events: visible.map(entry => entry.event).filter(event => event.sequence > after),
      last: visible.at(-1)?.event.sequence ?? 0
    }
  }
}
