/**
 * Cache events of a backend server, as its watcher reads them. They come late
 * and with gaps, so they only ever correct what is computed otherwise.
 */
import type { BackendServer, Cancellation } from 'foxtaillever-core'

export enum CacheEventKind {
  /** The prefix up to the end of a level is cached. */
  Stored = 'stored',
  Evicted = 'evicted'
}

export interface CacheEvent {
  /** Drawn anew at each start of the engine; its caches begin empty. */
  readonly incarnation: string
  /** Rises by one with each event of an incarnation. */
  readonly sequence: number
  readonly kind: CacheEventKind
  readonly account: string
  /** Hash of the whole prefix up to the end of a level. */
  readonly prefix: string
  readonly tokens: number
}

export interface CacheEventListener {
  event: (event: CacheEvent) => void
  /** The stream ended; what is known from it grows old. */
  ended: () => void
}

/** The narrow interface to the event streams of backend servers. */
export interface CacheEvents {
  watch: (server: BackendServer, listener: CacheEventListener) => Cancellation
}
