/** Decides which requests ask the owner of their server's queue for admission, and with which claim. */
import { hashNumber, type Clock } from 'foxtaillever-core'
import { isNearlyIdle } from 'foxtaillever-policy/relay/serverRoom'
import { priorityOf } from '../attempts/planTerms.js'
import { heldTokensOf, type Exchange, type Prompt } from '../model/exchange.js'
import type { FleetLoad } from '../peers/fleetLoad.js'
import type { QueuePosition } from '../peers/loadMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AdmissionClaim } from './admissionProtocol.js'
import type { ServerCapacity } from './serverAdmissions.js'

/**
 * Minimum share of the objective that reading the whole prompt takes if it is large.
 * Where all prompts are shorter, each delays the others by some milliseconds, and a round
 * trip to the owner would delay it by as much.
 */
const LARGE_READ_SHARE = 0.15

/** How long the prompts of a service ask for admission after a large one, milliseconds. */
const LARGE_PROMPTS_MS = 10_000

export interface AdmissionClaimsOptions {
  readonly clock: Clock
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
  /** Until when prompts ask for admission, by service, milliseconds of Unix time. */
  private readonly askingUntil = new Map<string, number>()

  private constructor (private readonly options: AdmissionClaimsOptions) {}

  static create (options: AdmissionClaimsOptions): AdmissionClaims {
    return new AdmissionClaims(options)
  }

  /** Where a request would be queued; undefined where none await admission. */
  queuePositionOf (exchange: Exchange): QueuePosition | undefined {
    const { prompt, service, account } = exchange
    return prompt && this.isAsking(service) ? { priority: priorityOf(exchange), account: account?.name ?? '' } : undefined
  }

  /** The claim of a request at a server; undefined where it is sent without asking. */
  claimFor (exchange: Exchange, server: KnownServer): AdmissionClaim | undefined {
    const { clock, capacityOf, missingTokensAt } = this.options
    const { route, prompt, account, arrivedAt, deadline } = exchange
    const capacity = prompt && capacityOf(server.hash)
    if (capacity === undefined || prompt === undefined || !this.mustAsk(exchange, prompt, server, capacity)) {
      return undefined
    }
    const tokens = missingTokensAt(exchange, server)
    const heldTokens = heldTokensOf(exchange)
    const latestEnd = Math.min(deadline, arrivedAt + route.silenceLimitMs)
    return {
      server: server.hash,
      tokens,
      heldTokens,
      priority: priorityOf(exchange),
      account: account?.name ?? '',
      fingerprint: fingerprintOf(exchange, prompt),
      elapsedMs: clock.now() - arrivedAt,
      objectiveMs: route.objectiveMs,
      latestStartAt: latestEnd - tokens / capacity.tokensPerMs
    }
  }

  /** Once large prompts await admission at a service, all its prompts do at a busy server, since they compete for the same slots. */
  private mustAsk (exchange: Exchange, { promptTokens }: Prompt, server: KnownServer, capacity: ServerCapacity): boolean {
    const { service, route: { awaitsAdmission, objectiveMs } } = exchange
    const now = this.options.clock.now()
    if (awaitsAdmission && promptTokens >= LARGE_READ_SHARE * objectiveMs * capacity.tokensPerMs) {
      this.askingUntil.set(service, now + LARGE_PROMPTS_MS)
    }
    return (this.isAsking(service) || server.queuedUntil > now) && !this.isNearlyIdle(server, capacity, heldTokensOf(exchange))
  }

  private isAsking (service: string): boolean {
    return (this.askingUntil.get(service) ?? 0) > this.options.clock.now()
  }

  private isNearlyIdle ({ hash, outstanding, unreadTokens, heldTokens }: KnownServer, capacity: ServerCapacity, addedTokens: number): boolean {
    const others = this.options.fleetLoad.of(hash)
    return isNearlyIdle({ ...capacity, outstanding: outstanding + others.outstanding, backlogTokens: unreadTokens + others.tokens, heldTokens: heldTokens + others.heldTokens }, addedTokens)
  }
}
