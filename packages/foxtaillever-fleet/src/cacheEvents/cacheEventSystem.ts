/**
 * Reads the event streams of the backend servers whose watcher is this instance
 * (by rendezvous hashing), and announces a short summary to the other instances:
 * the hottest prefixes of each server, its incarnation, and whether the prefixes
 * are doubtful. Sending all events to all instances would cost 6.4 MB per second
 * and instance at the two-year size.
 */
import * as Option from 'fp-ts/lib/Option.js'
import { pipe } from 'fp-ts/lib/function.js'
import { hashNumber, ServerKind, type BackendServer, type Cancellation, type Clock } from 'foxtaillever-core'
import { homeOf, type Named } from '../membership/home.js'
import { FactKind } from '../softState/fact.js'
import type { CacheEvents } from './cacheEvent.js'
import { CachedPrefixTable } from './cachedPrefixTable.js'

/** Prefixes in one summary. */
const SUMMARY_PREFIXES = 8

/** How often each summary is announced, milliseconds. */
const SUMMARY_INTERVAL_MS = 5000

/** How long a summary is valid, milliseconds; three intervals, so that one lost datagram does no harm. */
const SUMMARY_LIFETIME_MS = 15_000

/** What is announced to other instances about one backend server's cache. */
export interface CacheSummary {
  readonly incarnation: string
  readonly doubtful: boolean
  /** Hashes of the hottest cached prefixes, hottest first. */
  readonly prefixes: readonly number[]
}

/**
 * Short hash of one account's prefix. A collision can only cause a worse placement,
 * since engines isolate the caches of accounts themselves.
 */
export function prefixHashOf (account: string, prefix: string): number {
  return hashNumber(`${account}\0${prefix}`)
}

interface Watch {
  readonly prefixTable: CachedPrefixTable
  readonly address: string
  readonly cancel: Cancellation
  /** When the next summary may be announced, milliseconds of Unix time. */
  summaryAt: number
}

/** What the system needs from its instance; Fleet provides it. */
export interface CacheEventParts {
  readonly name: string
  readonly members: () => readonly Named[]
  readonly servers: () => readonly BackendServer[]
  readonly events: CacheEvents
  readonly announceFact: (kind: FactKind, key: string, value: unknown, deadline: number) => void
  readonly clock: Clock
}

/** The member that watches a backend server's events. */
export function watcherOf (server: string, members: readonly Named[]): string | undefined {
  return pipe(homeOf(`cache-events/${server}`, members), Option.map(({ name }) => name), Option.toUndefined)
}

export class CacheEventSystem {
  private readonly watches = new Map<string, Watch>()

  private constructor (private readonly parts: CacheEventParts) {}

  static create (parts: CacheEventParts): CacheEventSystem {
    return new CacheEventSystem(parts)
  }

  /** Names of the servers watched here. */
  watchedServers (): readonly string[] {
    return [...this.watches.keys()]
  }

  prefixTableOf (server: string): CachedPrefixTable | undefined {
    return this.watches.get(server)?.prefixTable
  }

  /** Runs each tick: takes over the servers of a dead watcher, and stops watching servers of other watchers. */
  tick (): void {
    const own = this.ownServers()
    for (const name of this.watches.keys()) {
      if (own.get(name)?.address !== this.watches.get(name)!.address) {
        this.stopWatching(name)
      }
    }
    own.forEach(server => {
      if (!this.watches.has(server.name)) {
        this.startWatching(server)
      }
    })
    this.watches.forEach((watch, name) => this.announceSummary(name, watch))
  }

  stop (): void {
    ;[...this.watches.keys()].forEach(name => this.stopWatching(name))
  }

  private ownServers (): ReadonlyMap<string, BackendServer> {
    const members = this.parts.members()
    const own = this.parts.servers().filter(({ kind, name }) => kind === ServerKind.Language && watcherOf(name, members) === this.parts.name)
    return new Map(own.map(server => [server.name, server]))
  }

  private startWatching (server: BackendServer): void {
    const prefixTable = CachedPrefixTable.create()
    const now = this.parts.clock.now()
    const cancel = this.parts.events.watch(server, {
      handleEvent: event => { prefixTable.applyEvent(event, this.parts.clock.now()) },
      handleEnd: () => this.discardWatch(server.name)
    })
    this.watches.set(server.name, { prefixTable, address: server.address, cancel, summaryAt: now })
  }

  /** The next tick opens the stream again with an empty table, since the missed events are unknown. */
  private discardWatch (name: string): void {
    this.watches.delete(name)
  }

  private stopWatching (name: string): void {
    this.watches.get(name)?.cancel()
    this.watches.delete(name)
  }

  private announceSummary (name: string, watch: Watch): void {
    const now = this.parts.clock.now()
    watch.prefixTable.expire(now)
    if (now < watch.summaryAt || watch.prefixTable.incarnation() === '') {
      return
    }
    watch.summaryAt = now + SUMMARY_INTERVAL_MS
    const summary: CacheSummary = {
      incarnation: watch.prefixTable.incarnation(),
      doubtful: watch.prefixTable.isDoubtful(now),
      prefixes: watch.prefixTable.hottest(SUMMARY_PREFIXES).map(({ account, prefix }) => prefixHashOf(account, prefix))
    }
    this.parts.announceFact(FactKind.CacheSummary, name, summary, now + SUMMARY_LIFETIME_MS)
  }
}
