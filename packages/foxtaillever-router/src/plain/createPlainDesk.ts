/** The relay core for calls of plain services: without prompts, weights or other instances. */
import { presetOf, type Clock, type Configuration, type Random } from 'foxtaillever-core'
import type { RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import { noLoad } from 'foxtaillever-policy/relay/serverLoad'
import { noCacheStores } from 'foxtaillever-relay/cache/cacheStoreTracker'
import { ExchangeDispatcher } from 'foxtaillever-relay/exchange/exchangeDispatcher'
import type { SuspectRegistry } from 'foxtaillever-relay/exchange/exchangeContext'
import { noQuotas } from 'foxtaillever-relay/limits/accountQuotas'
import { noSharedLimits } from 'foxtaillever-relay/limits/limitProtocol'
import type { RelayLog } from 'foxtaillever-relay/telemetry/relayLog'
import { routingOf } from './plainRoutes.js'
import { plainWire } from './plainWire.js'

/** A server that takes longer to accept a connection is passed over, milliseconds: there and back to the farthest failure domain, twice. */
const CONNECT_TIMEOUT_MS = 500

/** Retries beyond the share, so that a quiet instance can move the calls of a server that crashes. */
const RETRY_SLACK = 20

/** Over which retries are counted, milliseconds; a server restarts within it. */
const RETRY_WINDOW_MS = 10_000

/**
 * No call is suspected of crashing servers. The same few lookups come from all
 * callers, so an outage of the service would make suspects of them, and they
 * would be refused long after it.
 */
const noSuspicions: SuspectRegistry = {
  isRefused: () => false,
  refusedUntil: () => 0,
  wasLostRepeatedly: () => false,
  recordLoss: () => {},
  clearSuspicion: () => {}
}

/** Retries as the preset in force allows them. */
export function retryAllowanceOf (configuration: Configuration): RetryAllowance {
  return { ratio: presetOf(configuration).retryShare, slack: RETRY_SLACK, windowMs: RETRY_WINDOW_MS }
}

export interface PlainDeskOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly log: RelayLog
  readonly configuration: () => Configuration
}

export function createPlainDesk ({ configuration, ...shared }: PlainDeskOptions): ExchangeDispatcher {
  const desk = ExchangeDispatcher.create({
    ...shared,
    wire: plainWire,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    retryAllowance: retryAllowanceOf(configuration()),
    suspects: noSuspicions,
    // The router's own limits have let the call pass.
    quota: noQuotas,
    fleetLoad: { of: () => noLoad },
    ...noCacheStores,
    onLoadChanged: () => {},
    onSaved: () => {},
    onUnreachable: () => {},
    onBackoffRequested: () => {},
    queryLoad: () => undefined,
    weights: { outdatedSince: () => undefined },
    weightsBoundMs: Infinity,
    routing: () => routingOf(configuration()),
    limitProtocol: () => noSharedLimits,
    onLimitChanged: () => {},
    onServerChanged: () => {},
    onMisdirected: () => {}
  })
  // The constant is meant for each instance.
  desk.setInstanceCount(1)
  return desk
}
