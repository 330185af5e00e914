/**
 * What the events of one backend server say of its cache. A gap in the numbers
 * of an incarnation means that stores or evictions were missed: until a deadline
 * the knowledge counts as doubtful, and by then everything that was known before
 * the gap has been dropped. A new incarnation voids all of it.
 */
import { CacheEventKind, type CacheEvent } from './cacheEvent.js'

/** Prefixes kept of one backend server; at the ends of levels there are few. */
const MOST_PREFIXES = 2000

/** How long after a gap old knowledge is doubtful, milliseconds; engines evict within seconds. */
const DOUBT_MS = 5000

export interface CachedPrefix {
  readonly account: string
  readonly prefix: string
  readonly tokens: number
  /** When the event came, milliseconds of Unix time. */
  readonly storedAt: number
  /** Times it was stored again; what is hot is stored often. */
  readonly heat: number
}

function keyOf ({ account, prefix }: Pick<CacheEvent, 'account' | 'prefix'>): string {
  // An account's name must not run into the hash: another account never hits.
  return `${account}\0${prefix}`
}

export class CacheKnowledge {
  private readonly prefixes = new Map<string, CachedPrefix>()
  private current = ''
  private sequence = 0
  /** Milliseconds of Unix time; 0 for no doubt. */
  private doubtDeadline = 0
  private gapAt = 0
  private gaps = 0

  private constructor () {}

  static create (): CacheKnowledge {
    return new CacheKnowledge()
  }

  incarnation (): string {
    return this.current
  }

  gapCount (): number {
    return this.gaps
  }

  isDoubtful (now: number): boolean {
    return now < this.doubtDeadline
  }

  /** Takes an event; says whether it opened a gap. */
  take (event: CacheEvent, now: number): boolean {
    if (event.incarnation !== this.current) {
      this.restart(event)
    }
    if (event.sequence <= this.sequence) {
      return false
    }
    const gap = event.sequence !== this.sequence + 1
    if (gap) {
      this.doubt(now)
    }
    this.sequence = event.sequence
    this.handlers[event.kind](event, now)
    return gap
  }

  /** The stream broke, or its watcher is new: whatever is known may be old. */
  doubt (now: number): void {
    this.gaps += 1
    this.gapAt = now
    this.doubtDeadline = now + DOUBT_MS
  }

  /** Once the doubt ends, drops what was stored before the gap; run each tick. */
  expire (now: number): void {
    if (this.doubtDeadline === 0 || now < this.doubtDeadline) {
      return
    }
    this.doubtDeadline = 0
    for (const [key, { storedAt }] of this.prefixes) {
      if (storedAt < this.gapAt) {
        this.prefixes.delete(key)
      }
    }
  }

  /** The hottest prefixes, hottest first. */
  hottest (count: number): readonly CachedPrefix[] {
    return [...this.prefixes.values()]
      .sort((a, b) => b.heat * b.tokens - a.heat * a.tokens)
      .slice(0, count)
  }

  size (): number {
    return this.prefixes.size
  }

  private readonly handlers: Record<CacheEventKind, (event: CacheEvent, now: number) => void> = {
    [CacheEventKind.Stored]: (event, now) => this.store(event, now),
    [CacheEventKind.Evicted]: event => { this.prefixes.delete(keyOf(event)) }
  }

  private store (event: CacheEvent, now: number): void {
    const key = keyOf(event)
    const heat = (this.prefixes.get(key)?.heat ?? 0) + 1
    this.prefixes.delete(key)
    this.prefixes.set(key, { account: event.account, prefix: event.prefix, tokens: event.tokens, storedAt: now, heat })
    if (this.prefixes.size > MOST_PREFIXES) {
      const oldest = this.prefixes.keys().next().value
      this.prefixes.delete(oldest!)
    }
  }

  /** A stream that is joined late begins above 1; what came before is not known, so it is no gap. */
  private restart (event: CacheEvent): void {
    this.prefixes.clear()
    this.current = event.incarnation
    this.sequence = event.sequence - 1
    this.doubtDeadline = 0
  }
}
