/**
 * Cache events of a backend server, as its watcher reads them. They arrive late
 * and with gaps, so they only correct estimates that are computed without them.
 */
import type { BackendServer, Cancellation } from 'foxtaillever-core'

export enum CacheEventKind {
  /** The prefix up to the end of a level is cached. */
  Stored = 'stored',
  Evicted = 'evicted'
}

export interface CacheEvent {
  /** Changes with each start of the engine, which starts with empty caches. */
  readonly incarnation: string
  /** Increases by one with each event of an incarnation. */
  readonly sequence: number
  readonly kind: CacheEventKind
  readonly account: string
  /** Hash of the whole prefix up to the end of a level. */
  readonly prefix: string
  readonly tokens: number
}

export interface CacheEventListener {
  handleEvent: (event: CacheEvent) => void
  /** Called when the stream ended; the state read from it becomes outdated. */
  handleEnd: () => void
}

/** Interface to the event streams of backend servers. */
export interface CacheEvents {
  watch: (server: BackendServer, listener: CacheEventListener) => Cancellation
}
