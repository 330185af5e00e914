/** What all exchanges of an instance share: configuration, servers, limits and callbacks. */
import type { Clock, Random } from 'foxtaillever-core'
import type { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import type { AdmissionContext } from '../admission/requestAdmission.js'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import type { CacheStoreTracker } from '../cache/cacheStoreTracker.js'
import type { CrashProtocol } from '../crashes/crashProtocol.js'
import type { ServerPaths } from '../links/serverPaths.js'
import type { Exchange } from '../model/exchange.js'
import type { LevelAtHome } from '../peers/loadQueryClient.js'
import type { Routing } from '../model/routing.js'
import type { ServerWire } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { QueriedServers, EarlierAttempts } from '../servers/serverSelector.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { StreamVersions } from '../streams/streamVersions.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AccountQuotas } from '../limits/accountQuotas.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { InFlightAttempt } from './inFlightAttempt.js'

/** The part of `CrashProtocol` that a run uses. */
export type CrashRegistry = Pick<CrashProtocol, 'findQuarantine' | 'recordRefusal' | 'claimTrial' | 'mayRetry' | 'recordLoss' | 'recordAnswer' | 'recordProgress'>

export interface ExchangeContext {
  readonly clock: Clock
  /** When this instance fails what is in flight, because it shuts down; milliseconds of Unix time, Infinity while it does not. */
  readonly endsAt: () => number
  /** Longest wait for a connection, milliseconds. */
  readonly connectTimeoutMs: number
  readonly random: Random
  readonly wire: ServerWire
  readonly directory: ServerDirectory
  readonly retries: RetryShare
  readonly caches: Pick<CacheStoreTracker, 'savedLevels' | 'fetchLoad' | 'available'>
  readonly crashes: CrashRegistry
  readonly quota: Pick<AccountQuotas, 'admit' | 'refund'>
  readonly limits: Pick<ServerLimits, 'admit' | 'refund'>
  /** Software versions that began streams. */
  readonly streamVersions: Pick<StreamVersions, 'find' | 'record'>
  /** Admission at servers that are short of room. */
  readonly admission: AdmissionContext
  /** Ways to the servers. */
  readonly paths: ServerPaths
  readonly log: RelayLog
  /** Whether the server fails if it must reject a few requests. */
  readonly isBrittle: (server: KnownServer) => boolean
  /** The configuration in force. */
  readonly routing: () => Routing
  /** Prompt tokens that the other instances have at the server, as far as is known. */
  readonly othersTokensAt: (server: KnownServer) => number
  /** The load that this instance puts on the server has changed. */
  readonly onLoadChanged: (server: KnownServer) => void
  /** The first event of an answer shows how fast the server reads; called before the load is changed. */
  readonly onSpeedSample: (server: KnownServer, tokens: number, ms: number) => void
  /** The level of a prompt was saved to its store. */
  readonly onSaved: (level: LevelAtHome) => void
  /** A connection to a server could not be opened. */
  readonly onUnreachable: (server: KnownServer) => void
  /** A server rejected a request. */
  readonly onRejected: (server: KnownServer) => void
  /** Queries the load that other instances put on the candidate servers, and resolves to the servers it queried; undefined where the load is known. Never rejects. */
  readonly queryLoad: (exchange: Exchange, earlier: EarlierAttempts) => Promise<QueriedServers> | undefined
  /** Selects the server for the next attempt among those at which no attempt failed; undefined when there is none. */
  readonly selectServer: (exchange: Exchange, earlier: EarlierAttempts, queriedServers: QueriedServers | undefined) => KnownServer | undefined
  /** Whether the server can take the next attempt once it accepts requests. */
  readonly isSuitable: (exchange: Exchange, earlier: EarlierAttempts, server: KnownServer) => boolean
  /** When a caller may retry while no server of the service, or of one of its software versions, takes requests, milliseconds of Unix time; undefined where no server stated it. */
  readonly earliestRetryAt: (service: string, softwareVersion: string | undefined) => number | undefined
  /** A server has another id or other weights than expected; the failure may name its id. */
  readonly onMisdirected: (inFlight: InFlightAttempt, exchange: Exchange, failure: AttemptFailure) => void
}
