/** Decides which requests ask the owner of their server's queue for admission, and with which claim. */
import { hashNumber } from 'foxtaillever-core'
import { isNearlyIdle } from 'foxtaillever-policy/relay/serverRoom'
import { priorityOf } from '../attempts/planTerms.js'
import { heldTokensOf, type Exchange, type Prompt } from '../model/exchange.js'
import type { FleetLoad } from '../peers/fleetLoad.js'
import type { QueuePosition } from '../peers/loadMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AdmissionClaim } from './admissionProtocol.js'
import type { ServerCapacity } from './serverAdmissions.js'

/**
 * Minimum share of the objective that reading the whole prompt must take. A shorter prompt
 * delays the others by some milliseconds, and engines start it before large ones if it is
 * urgent: waiting here, it would leave slots unused for a round trip to the owner or more.
 */
const MIN_READ_SHARE = 0.1

export interface AdmissionClaimsOptions {
  readonly fleetLoad: Pick<FleetLoad, 'of'>
  /** Undefined for a server that takes no requests. */
  readonly capacityOf: (server: number) => ServerCapacity | undefined
  /** Prompt tokens of the request that the server has not cached. */
  readonly missingTokensAt: (exchange: Exchange, server: KnownServer) => number
}

/** Equal for a request and its retry, which has an id of its own: the last level belongs to the request or its session. */
function fingerprintOf ({ account }: Exchange, { levels, promptTokens }: Prompt): number {
  return hashNumber(`${account?.name ?? ''}/${levels.at(-1)?.id ?? ''}/${promptTokens}`)
}

export class AdmissionClaims {
  private constructor (private readonly options: AdmissionClaimsOptions) {}

  static create (options: AdmissionClaimsOptions): AdmissionClaims {
    return new AdmissionClaims(options)
  }

  /** Where a request would be queued; undefined for one that never is. */
  queuePositionOf (exchange: Exchange): QueuePosition | undefined {
    const { prompt, route, account } = exchange
    return prompt && route.awaitsAdmission ? { priority: priorityOf(exchange), account: account?.name ?? '' } : undefined
  }

  /** The claim of a request at a server; undefined where it is sent without asking. */
  claimFor (exchange: Exchange, server: KnownServer): AdmissionClaim | undefined {
    const { capacityOf, missingTokensAt } = this.options
    const { route, prompt, arrivedAt, deadline } = exchange
    const position = this.queuePositionOf(exchange)
    const capacity = position && capacityOf(server.hash)
    if (prompt === undefined || position === undefined || capacity === undefined || !this.mustAsk(exchange, prompt, server, capacity)) {
      return undefined
    }
    const tokens = missingTokensAt(exchange, server)
    const heldTokens = heldTokensOf(exchange)
    const latestEnd = Math.min(deadline, arrivedAt + route.silenceLimitMs)
    return {
      server: server.hash,
      tokens,
      heldTokens,
      ...position,
      fingerprint: fingerprintOf(exchange, prompt),
      arrivedAt,
      objectiveMs: route.objectiveMs,
      latestStartAt: latestEnd - tokens / capacity.tokensPerMs
    }
  }

  private mustAsk (exchange: Exchange, { promptTokens }: Prompt, server: KnownServer, capacity: ServerCapacity): boolean {
    const isLarge = promptTokens >= MIN_READ_SHARE * exchange.route.objectiveMs * capacity.tokensPerMs
    return isLarge && !this.isNearlyIdle(server, capacity, heldTokensOf(exchange))
  }

  private isNearlyIdle ({ hash, outstanding, unreadTokens, heldTokens }: KnownServer, capacity: ServerCapacity, addedTokens: number): boolean {
    const others = this.options.fleetLoad.of(hash)
    return isNearlyIdle({ ...capacity, outstanding: outstanding + others.outstanding, backlogTokens: unreadTokens + others.tokens, heldTokens: heldTokens + others.heldTokens }, addedTokens)
  }
}
