/**
 * The cached prefixes of one backend server according to its events. A gap in the
 * sequence numbers of an incarnation means that stores or evictions were missed.
 * The table is then doubtful until a deadline, at which prefixes stored before the
 * gap are dropped. A new incarnation clears the table.
 */
import { CacheEventKind, type CacheEvent } from './cacheEvent.js'

/** Prefixes kept per backend server; events name only prefixes that end at a level, so there are few. */
const MAX_PREFIXES = 2000

/** How long the table is doubtful after a gap, milliseconds; engines evict within seconds. */
const DOUBT_PERIOD_MS = 5000

export interface CachedPrefix {
  readonly account: string
  readonly prefix: string
  readonly tokens: number
  /** When the event arrived, milliseconds of Unix time. */
  readonly storedAt: number
  /** How often the prefix was stored; hot prefixes are stored often. */
  readonly storeCount: number
}

function keyOf ({ account, prefix }: Pick<CacheEvent, 'account' | 'prefix'>): string {
  // The separator keeps the account's name apart from the hash, so that no key matches another account's prefix.
  return `${account}\0${prefix}`
}

export class CachedPrefixTable {
  private readonly prefixes = new Map<string, CachedPrefix>()
  private currentIncarnation = ''
  private sequence = 0
  /** Milliseconds of Unix time; 0 when the table is not doubtful. */
  private doubtDeadline = 0
  private gapAt = 0
  private gaps = 0

  private constructor () {}

  static create (): CachedPrefixTable {
    return new CachedPrefixTable()
  }

  incarnation (): string {
    return this.currentIncarnation
  }

  gapCount (): number {
    return this.gaps
  }

  isDoubtful (now: number): boolean {
    return now < this.doubtDeadline
  }

  /** Applies an event; returns whether there was a gap before it. */
  applyEvent (event: CacheEvent, now: number): boolean {
    if (event.incarnation !== this.currentIncarnation) {
      this.resetForIncarnation(event)
    }
    if (event.sequence <= this.sequence) {
      return false
    }
    const isGap = event.sequence !== this.sequence + 1
    if (isGap) {
      this.markDoubtful(now)
    }
    this.sequence = event.sequence
    this.handlers[event.kind](event, now)
    return isGap
  }

  /** Marks the table as doubtful: missed events may have changed any prefix in it. */
  markDoubtful (now: number): void {
    this.gaps += 1
    this.gapAt = now
    this.doubtDeadline = now + DOUBT_PERIOD_MS
  }

  /** Runs each tick: at the deadline, drops the prefixes stored before the gap. */
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
      .sort((a, b) => b.storeCount * b.tokens - a.storeCount * a.tokens)
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
    const storeCount = (this.prefixes.get(key)?.storeCount ?? 0) + 1
    this.prefixes.delete(key)
    this.prefixes.set(key, { account: event.account, prefix: event.prefix, tokens: event.tokens, storedAt: now, storeCount })
    if (this.prefixes.size > MAX_PREFIXES) {
      const oldest = this.prefixes.keys().next().value
      this.prefixes.delete(oldest!)
    }
  }

  /** A stream joined late starts above 1. That is no gap, since the table is empty and cannot be outdated. */
  private resetForIncarnation (event: CacheEvent): void {
    this.prefixes.clear()
    this.currentIncarnation = event.incarnation
    this.sequence = event.sequence - 1
    this.doubtDeadline = 0
  }
}
