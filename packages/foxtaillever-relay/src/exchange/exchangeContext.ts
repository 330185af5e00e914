/** What all exchanges of an instance share. */
import type { Clock, Random } from 'foxtaillever-core'
import type { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import type { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import type { FetchLoad } from '../cache/fetchLoad.js'
import type { Exchange } from '../model/exchange.js'
import type { Routing } from '../model/routing.js'
import type { ServerWire } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { CrashSuspects } from './crashSuspects.js'

/** What a run asks and tells about requests that crash servers. */
export type Suspicions = Pick<CrashSuspects, 'isRefused' | 'refusedUntil' | 'isDangerous' | 'accuse' | 'acquit'>

export interface ExchangeContext {
  readonly clock: Clock
  /** Longest wait for a connection, milliseconds. */
  readonly connectTimeoutMs: number
  readonly random: Random
  readonly wire: ServerWire
  readonly directory: ServerDirectory
  readonly retries: RetryShare
  readonly savedLevels: SavedLevels
  readonly fetchLoad: FetchLoad
  readonly suspects: Suspicions
  readonly log: RelayLog
  /** The configuration in force. */
  readonly routing: () => Routing
  /** The server for the next try, other than those that failed it; undefined when there is none. */
  readonly place: (exchange: Exchange, failed: ReadonlySet<string>) => KnownServer | undefined
  /** A server is not what it was thought to be. */
  readonly onMisdirected: (server: string) => void
}
