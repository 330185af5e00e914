/** What all exchanges of an instance share. */
import type { Clock, Random } from 'foxtaillever-core'
import type { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import type { CacheUse } from '../cache/cacheUse.js'
import type { Exchange } from '../model/exchange.js'
import type { LevelAtHome } from '../peers/loadQueryClient.js'
import type { Routing } from '../model/routing.js'
import type { ServerWire } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AskedServers, EarlierTries } from '../servers/serverChoice.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AccountQuotas } from '../limits/accountQuotas.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { CrashSuspects } from './crashSuspects.js'
import type { OpenTry } from './openTry.js'

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
  readonly caches: Pick<CacheUse, 'savedLevels' | 'fetchLoad' | 'available'>
  readonly suspects: Suspicions
  readonly quota: Pick<AccountQuotas, 'admit' | 'giveBack'>
  readonly limits: Pick<ServerLimits, 'admit' | 'giveBack'>
  readonly log: RelayLog
  /** The configuration in force. */
  readonly routing: () => Routing
  /** Prompt tokens that the other instances have at the server, as far as is known. */
  readonly othersTokensAt: (server: KnownServer) => number
  /** What this instance puts on a server is another. */
  readonly onLoadChanged: () => void
  /** The level of a prompt was saved to its store. */
  readonly onSaved: (level: LevelAtHome) => void
  /** A server took no connection. */
  readonly onUnreachable: (server: KnownServer) => void
  /** Asks what the others put on the servers that come into question, and tells which; undefined where it is known. Never fails. */
  readonly askLoad: (exchange: Exchange, earlier: EarlierTries) => Promise<AskedServers> | undefined
  /** The server for the next try, other than those that failed it; undefined when there is none. */
  readonly place: (exchange: Exchange, earlier: EarlierTries, asked: AskedServers | undefined) => KnownServer | undefined
  /** When a caller may come back where no server of the service takes requests now, milliseconds of Unix time; undefined where none said so. */
  readonly returnAt: (service: string) => number | undefined
  /** A server is not what it was thought to be; the failure may name it. */
  readonly onMisdirected: (tried: OpenTry, exchange: Exchange, failure: AttemptFailure) => void
}
