/** Decides which requests ask the owner of their server's queue for admission, and with which claim. */
import { hashNumber } from 'foxtaillever-core'
import { isNearlyIdle } from 'foxtaillever-policy/relay/serverRoom'
import { priorityOf } from '../attempts/planTerms.js'
import { heldTokensOf, type Exchange } from '../model/exchange.js'
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
  /** Whether the server fails if it must reject a few requests. */
  readonly isBrittle: (server: KnownServer) => boolean
  /** Instances of the fleet, this one included. */
  readonly instances: () => number
  /** Prompt tokens of the request that the server has not cached. */
  readonly missingTokensAt: (exchange: Exchange, server: KnownServer) => number
}

/**
 * Longest wait of a request without a prompt for admission, as a multiple of its objective: an answer that begins later is
 * worth little, and its caller does better with a time to retry.
 */
const MAX_WAIT_OBJECTIVES = 2

/** Equal for a request and its retry, which has an id of its own: the last level belongs to the request or its session. */
function fingerprintOf ({ account, prompt, path, body }: Exchange): number {
  return hashNumber(`${account?.name ?? ''}/${prompt ? `${prompt.levels.at(-1)?.id ?? ''}/${prompt.promptTokens}` : `${path}/${body.length}`}`)
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
    const { capacityOf, isBrittle, missingTokensAt } = this.options
    const { route, prompt, arrivedAt, account } = exchange
    const isRequired = isBrittle(server)
    const capacity = isRequired || (prompt && route.awaitsAdmission) ? capacityOf(server.hash) : undefined
    if (capacity === undefined || !(isRequired || this.delaysOthers(exchange, server, capacity))) {
      return undefined
    }
    const tokens = prompt ? missingTokensAt(exchange, server) : 0
    return {
      server: server.hash,
      isBrittle: isRequired,
      tokens,
      heldTokens: heldTokensOf(exchange),
      priority: priorityOf(exchange),
      account: account?.name ?? '',
      fingerprint: fingerprintOf(exchange),
      arrivedAt,
      objectiveMs: route.objectiveMs,
      latestStartAt: latestStartOf(exchange, tokens / capacity.tokensPerMs)
    }
  }

  /**
   * Whether a request may be sent although no instance decided on its admission. A brittle
   * server that is at most half used gets as many as it takes if all instances send as many.
   */
  mayBypass (server: KnownServer): boolean {
    const { isBrittle, instances, fleetLoad } = this.options
    const { outstanding, hash, listed: { slots } } = server
    const isHalfUsed = outstanding + fleetLoad.of(hash).outstanding >= slots / 2
    return !isBrittle(server) || (!isHalfUsed && outstanding < Math.max(1, Math.floor(slots / instances())))
  }

  /** Whether reading the prompt delays others, so that its instance asks unless the server is nearly idle. */
  private delaysOthers (exchange: Exchange, server: KnownServer, capacity: ServerCapacity): boolean {
    const { prompt, route } = exchange
    const isLarge = (prompt?.promptTokens ?? 0) >= MIN_READ_SHARE * route.objectiveMs * capacity.tokensPerMs
    return isLarge && !this.isNearlyIdle(server, capacity, heldTokensOf(exchange))
  }

  private isNearlyIdle ({ hash, outstanding, unreadTokens, heldTokens }: KnownServer, capacity: ServerCapacity, addedTokens: number): boolean {
    const others = this.options.fleetLoad.of(hash)
    return isNearlyIdle({ ...capacity, outstanding: outstanding + others.outstanding, backlogTokens: unreadTokens + others.tokens, heldTokens: heldTokens + others.heldTokens }, addedTokens)
  }
}

/** From then on the request cannot begin in time, milliseconds of Unix time. */
function latestStartOf ({ route, prompt, arrivedAt, deadline }: Exchange, readMs: number): number {
  const latestEnd = Math.min(deadline, arrivedAt + route.silenceLimitMs)
  return prompt ? latestEnd - readMs : Math.min(latestEnd, arrivedAt + MAX_WAIT_OBJECTIVES * route.objectiveMs)
}
