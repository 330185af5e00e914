/** Creates the relay core's dispatcher for calls of plain services: without prompts, weights or other instances. */
import { presetOf, type Clock, type Configuration, type Random } from 'foxtaillever-core'
import type { RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import { noLoad } from 'foxtaillever-policy/relay/serverLoad'
import { noCacheStores } from 'foxtaillever-relay/cache/cacheStoreTracker'
import { noCrashes } from 'foxtaillever-relay/crashes/crashProtocol'
import { ExchangeDispatcher } from 'foxtaillever-relay/exchange/exchangeDispatcher'
import { noAdmissionProtocol } from 'foxtaillever-relay/admission/admissionProtocol'
import { noQuotas } from 'foxtaillever-relay/limits/accountQuotas'
import { directPaths } from 'foxtaillever-relay/links/serverPaths'
import { noSharedLimits } from 'foxtaillever-relay/limits/limitProtocol'
import { noStreamVersions } from 'foxtaillever-relay/streams/streamVersions'
import type { RelayLog } from 'foxtaillever-relay/telemetry/relayLog'
import { routingOf } from './plainRoutes.js'
import { plainWire } from './plainWire.js'

/** A server that takes longer to accept a connection is skipped, milliseconds: two round trips to the farthest failure domain. */
const CONNECT_TIMEOUT_MS = 500

/** Retries allowed beyond the ratio, so that an instance with little traffic can move the calls of a crashed server. */
const RETRY_SLACK = 20

/** Window over which retries are counted, milliseconds; long enough for a server to restart. */
const RETRY_WINDOW_MS = 10_000

/** The retry budget of the preset in force. */
export function retryAllowanceOf (configuration: Configuration): RetryAllowance {
  return { ratio: presetOf(configuration).retryShare, slack: RETRY_SLACK, windowMs: RETRY_WINDOW_MS }
}

export interface PlainDispatcherOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly log: RelayLog
  readonly configuration: () => Configuration
}

export function createPlainDispatcher ({ configuration, ...shared }: PlainDispatcherOptions): ExchangeDispatcher {
  const dispatcher = ExchangeDispatcher.create({
    ...shared,
    wire: plainWire,
    paths: directPaths,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    // An instance that shuts down takes nothing new.
    endsAt: () => Infinity,
    retryAllowance: retryAllowanceOf(configuration()),
    // RETRY_SLACK applies to each instance by itself.
    knownInstances: () => 1,
    // All callers make the same few lookups, so an outage of the service would make them suspects, and they would be refused long after it.
    crashes: noCrashes,
    // The router has already applied its own limits.
    quota: noQuotas,
    streamVersions: noStreamVersions,
    fleetLoad: { of: () => noLoad },
    ...noCacheStores,
    onLoadChanged: () => {},
    onSpeedSample: () => {},
    onSaved: () => {},
    onUnreachable: () => {},
    onBackoffRequested: () => {},
    queryLoad: () => undefined,
    weights: { outdatedSince: () => undefined },
    weightsBoundMs: Infinity,
    serverHeartbeatMs: 0,
    routing: () => routingOf(configuration()),
    limitProtocol: () => noSharedLimits,
    admissionProtocol: () => noAdmissionProtocol,
    onLimitChanged: () => {},
    onServerChanged: () => {},
    onMisdirected: () => {}
  })
  dispatcher.setInstanceCount(1)
  return dispatcher
}
