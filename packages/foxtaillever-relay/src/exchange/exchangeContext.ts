/** What all exchanges of an instance share. */
import type { Clock, Random } from 'foxtaillever-core'
import type { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import type { CacheUse } from '../cache/cacheUse.js'
import type { Exchange } from '../model/exchange.js'
import type { Routing } from '../model/routing.js'
import type { ServerWire } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { CrashSuspects } from './crashSuspects.js'

export interface ExchangeContext {
  readonly clock: Clock
  readonly random: Random
  readonly wire: ServerWire
  readonly directory: ServerDirectory
  readonly retries: RetryShare
  readonly caches: Pick<CacheUse, 'savedLevels' | 'fetchLoad' | 'available'>
  readonly suspects: CrashSuspects
  readonly log: RelayLog
  /** The configuration in force. */
  readonly routing: () => Routing
  /** The server for the next try, other than those that failed it; undefined when there is none. */
  readonly place: (exchange: Exchange, failed: ReadonlySet<string>) => KnownServer | undefined
  /** A server is not what it was thought to be. */
  readonly onMisdirected: (server: string) => void
}
