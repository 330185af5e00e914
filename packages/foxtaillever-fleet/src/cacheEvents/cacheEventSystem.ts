/**
 * Reads the event streams of the backend servers that this instance is the
 * computed watcher of, and tells the others a thinned summary: the few hottest
 * prefixes of each server, its incarnation, and whether that is doubtful. All
 * events to all instances would be 6.4 MB a second each at the two-year size.
 */
import * as Option from 'fp-ts/lib/Option.js'
import { pipe } from 'fp-ts/lib/function.js'
import { hashNumber, ServerKind, type BackendServer, type Cancellation, type Clock } from 'foxtaillever-core'
import { homeOf, type Named } from '../membership/home.js'
import { FactKind } from '../softState/fact.js'
import type { CacheEvents } from './cacheEvent.js'
import { CacheKnowledge } from './cacheKnowledge.js'

/** Prefixes in one summary. */
const SUMMARY_PREFIXES = 8

/** How often a changed summary is told, milliseconds. */
const SUMMARY_MS = 5000

/** How long a summary holds, milliseconds; three periods, so that one lost datagram costs nothing. */
const SUMMARY_LIFE_MS = 15_000

/** What others hear of one backend server's cache. */
export interface CacheSummary {
  readonly incarnation: string
  readonly doubtful: boolean
  /** Marks of the hottest cached prefixes, hottest first. */
  readonly prefixes: readonly number[]
}

/**
 * Short mark of one account's prefix. Two prefixes may share a mark; that costs
 * a worse placement at most, since engines keep accounts apart themselves.
 */
export function markOf (account: string, prefix: string): number {
  return hashNumber(`${account}\0${prefix}`)
}

interface Watch {
  readonly knowledge: CacheKnowledge
  readonly address: string
  readonly cancel: Cancellation
  /** When the next summary may be told, milliseconds of Unix time. */
  summaryAt: number
}

/** What the system needs of the instance around it; a Fleet has it. */
export interface CacheEventParts {
  readonly name: string
  readonly members: () => readonly Named[]
  readonly servers: () => readonly BackendServer[]
  readonly events: CacheEvents
  readonly share: (kind: FactKind, key: string, value: unknown, deadline: number) => void
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
  watched (): readonly string[] {
    return [...this.watches.keys()]
  }

  knowledgeOf (server: string): CacheKnowledge | undefined {
    return this.watches.get(server)?.knowledge
  }

  /** Run each tick: takes over the servers of a watcher that died, gives up others. */
  tick (): void {
    const own = this.ownServers()
    for (const name of this.watches.keys()) {
      if (own.get(name)?.address !== this.watches.get(name)!.address) {
        this.giveUp(name)
      }
    }
    own.forEach(server => {
      if (!this.watches.has(server.name)) {
        this.watch(server)
      }
    })
    this.watches.forEach((watch, name) => this.tell(name, watch))
  }

  stop (): void {
    ;[...this.watches.keys()].forEach(name => this.giveUp(name))
  }

  private ownServers (): ReadonlyMap<string, BackendServer> {
    const members = this.parts.members()
    const own = this.parts.servers().filter(({ kind, name }) => kind === ServerKind.Language && watcherOf(name, members) === this.parts.name)
    return new Map(own.map(server => [server.name, server]))
  }

  private watch (server: BackendServer): void {
    const knowledge = CacheKnowledge.create()
    const now = this.parts.clock.now()
    const cancel = this.parts.events.watch(server, {
      event: event => { knowledge.take(event, this.parts.clock.now()) },
      ended: () => this.reopen(server.name)
    })
    this.watches.set(server.name, { knowledge, address: server.address, cancel, summaryAt: now })
  }

  /** Opened again at the next tick, with empty knowledge: what was missed is not known. */
  private reopen (name: string): void {
    this.watches.delete(name)
  }

  private giveUp (name: string): void {
    this.watches.get(name)?.cancel()
    this.watches.delete(name)
  }

  private tell (name: string, watch: Watch): void {
    const now = this.parts.clock.now()
    watch.knowledge.expire(now)
    if (now < watch.summaryAt || watch.knowledge.incarnation() === '') {
      return
    }
    watch.summaryAt = now + SUMMARY_MS
    const summary: CacheSummary = {
      incarnation: watch.knowledge.incarnation(),
      doubtful: watch.knowledge.isDoubtful(now),
      prefixes: watch.knowledge.hottest(SUMMARY_PREFIXES).map(({ account, prefix }) => markOf(account, prefix))
    }
    this.parts.share(FactKind.CacheSummary, name, summary, now + SUMMARY_LIFE_MS)
  }
}
