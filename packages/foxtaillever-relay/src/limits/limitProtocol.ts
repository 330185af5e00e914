/**
 * Limits that the instances of a fleet share. Each key has an owner, computed from
 * the members, that decides for all instances; the next two in the ranking take
 * over within the bounds that `SharedLimitLedger` sets. Each response grants its
 * requester an allowance to use without waiting. Far from the limit a claim is admitted
 * from the allowance and only counted at the owner; near the limit it waits for one
 * response.
 */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { SharedLimitLedger, LimitOutcome, LimitRole, RENEWAL_MS, type LimitClaim, type LimitTolerance, type RetryOrder } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { DatagramKind } from '../peers/datagram.js'
import { firstRequestNumber } from '../peers/firstRequestNumber.js'
import { UnresponsivePeers, type UnresponsivePeersOptions } from '../peers/unresponsivePeers.js'
import { LimitScope, type LimitMessage, type LimitRequest, type LimitResponse } from './limitMessage.js'

/** Wait for a response, milliseconds: a datagram travels two at most, a busy event loop delays it by tens. */
const RESPONSE_TIMEOUT_MS = 50

/** An allowance expires after this, milliseconds. */
const ALLOWANCE_TTL_MS = 500

/** Keys for which an allowance is kept. */
const MAX_ALLOWANCES = 2048

/** Roles of the instances in a key's ranking, in order. */
const rolesByRank: readonly LimitRole[] = [LimitRole.Owner, LimitRole.Standby, LimitRole.Reserve]

/** Converts the revision of a limit to its wire form; the same function converts it back. */
const revisionOnWire: Readonly<Record<LimitScope, (revision: number, now: number) => number>> = {
  [LimitScope.Account]: revision => revision,
  // The revision is the time of the server's statement; sent as an age, since the clocks of instances differ.
  [LimitScope.Server]: (statedAt, now) => now - statedAt
}

/** Number of instances that may decide on a key. */
export const LIMIT_RANKING_SIZE = rolesByRank.length

/** Result of a claim. */
export interface LimitResult {
  /** Neither granted nor refused if no instance decided. */
  readonly outcome: LimitOutcome
  readonly role: LimitRole
  /** Address of the instance that decided; empty if none did. */
  readonly decidedBy: string
  /** For a refusal: when the claim would fit, milliseconds of Unix time. */
  readonly retryAt: number
}

/** How limits of one scope are enforced. */
export interface LimitKind {
  readonly scope: LimitScope
  readonly tolerance: LimitTolerance
  /** How refused claims are spread over time: successive retry times, or first come, first served. */
  readonly retryOrder: RetryOrder
  /** Longest wait for a decision, milliseconds. */
  readonly maxWaitMs: number
}

export interface LimitProtocolOptions extends LimitKind, UnresponsivePeersOptions {
  readonly clock: Clock
  readonly address: string
  /** Addresses of the instances that may decide on a key, the owner first. */
  readonly ranking: (key: string) => readonly string[]
  /** When the members behind the rankings last changed, milliseconds of Unix time; undefined until they are known. */
  readonly stableSince: () => number | undefined
  /** Instances of the fleet, this one included. */
  readonly instanceCount: () => number
  readonly send: (address: string, message: LimitMessage) => void
  /** A message came from an instance that may not be known here yet. */
  readonly onInstanceSeen: (address: string) => void
  /** This instance decided on a claim of any instance. */
  readonly onDecided: (role: LimitRole, outcome: LimitOutcome) => void
}

/** Grants every claim, as where no server states a limit. */
export const noSharedLimits: Pick<LimitProtocol, 'claim' | 'refund'> = {
  claim: (_, onResult) => onResult({ outcome: LimitOutcome.Granted, role: LimitRole.None, decidedBy: '', retryAt: 0 }),
  refund: () => {}
}

interface Allowance {
  tokens: number
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
}

interface PendingClaim {
  readonly claim: LimitClaim
  /** Addresses not queried in this round yet, in ranking order. */
  remaining: readonly string[]
  /** Addresses queried without a response so far. */
  readonly unanswered: Set<string>
  /** All addresses queried. */
  readonly queried: Set<string>
  readonly onResult: (result: LimitResult) => void
  readonly deadline: number
  cancel: Cancellation
}

export class LimitProtocol {
  private readonly ledger: SharedLimitLedger
  private readonly skippedPeers: UnresponsivePeers
  private readonly pending = new Map<number, PendingClaim>()
  private readonly allowances = RecentMap.create<Allowance>(MAX_ALLOWANCES)
  /** Keys with a scheduled renewal of the standby's promise. */
  private readonly renewals = new Set<string>()
  private nextNumber: number

  private constructor (private readonly options: LimitProtocolOptions) {
    this.ledger = SharedLimitLedger.create(options.tolerance, options.retryOrder)
    this.skippedPeers = UnresponsivePeers.create(options)
    this.nextNumber = firstRequestNumber(options.clock)
  }

  static create (options: LimitProtocolOptions): LimitProtocol {
    return new LimitProtocol(options)
  }

  /** Counts a request against a key's limit; calls back when decided, at once if the allowance covers it. */
  claim (claim: Omit<LimitClaim, 'isTaken'>, onResult: (result: LimitResult) => void): void {
    const { clock, maxWaitMs } = this.options
    const now = clock.now()
    const remaining = this.ranking(claim.key)
    const [first] = remaining
    if (first !== undefined && first !== this.options.address && this.spendAllowance(claim, now)) {
      this.sendRequest(first, this.nextNumber++, { ...claim, isTaken: true })
      onResult({ outcome: LimitOutcome.Granted, role: LimitRole.None, decidedBy: '', retryAt: now })
      return
    }
    const number = this.nextNumber++
    const pending: PendingClaim = { claim: { ...claim, isTaken: false }, remaining, unanswered: new Set(), queried: new Set(), onResult, deadline: now + maxWaitMs, cancel: () => {} }
    this.pending.set(number, pending)
    this.requestNext(number, pending)
  }

  /** Returns the cost of a request that was counted but did not run. */
  refund (key: string, cost: number): void {
    const [owner] = this.ranking(key)
    const { address, scope, send } = this.options
    if (owner === address) {
      this.ledger.refund(key, cost)
    } else if (owner !== undefined) {
      send(owner, { kind: DatagramKind.LimitRefund, scope, address, key, cost })
    }
  }

  receive (message: LimitMessage): void {
    const { clock, address, send } = this.options
    switch (message.kind) {
      case DatagramKind.LimitRequest: send(message.address, this.decide(this.convertRevision(message))); break
      case DatagramKind.LimitResponse: this.receiveResponse(message); break
      case DatagramKind.LimitRefund: this.ledger.refund(message.key, message.cost); break
      case DatagramKind.LimitRenewal:
        // The sender may have just joined and own the key now; this instance must count it as a member.
        this.options.onInstanceSeen(message.address)
        this.ledger.promiseToHoldBack(message.key, clock.now())
        send(message.address, { ...message, kind: DatagramKind.LimitPromise, address })
        break
      case DatagramKind.LimitPromise: this.ledger.recordPromise(message.key, message.sentAt); break
    }
  }

  /** Deducts the cost from the key's allowance; returns whether the allowance covered it. */
  private spendAllowance ({ key, cost }: Omit<LimitClaim, 'isTaken'>, now: number): boolean {
    const allowance = this.allowances.peek(key)
    if (!allowance || allowance.expiresAt <= now || allowance.tokens < cost) {
      return false
    }
    allowance.tokens -= cost
    return true
  }

  /** Ranked addresses that answer, or all of them if none does. */
  private ranking (key: string): string[] {
    const ranking = this.options.ranking(key)
    const answering = ranking.filter(address => !this.skippedPeers.has(address))
    return answering.length > 0 ? answering : [...ranking]
  }

  /** Converts the limit's revision between this instance's clock and the wire form. */
  private convertRevision (request: LimitRequest): LimitRequest {
    const { limit } = request
    return { ...request, limit: { ...limit, revision: revisionOnWire[this.options.scope](limit.revision, this.options.clock.now()) } }
  }

  private sendRequest (address: string, number: number, claim: LimitClaim): void {
    const { address: own, scope } = this.options
    const request: LimitRequest = { kind: DatagramKind.LimitRequest, scope, address: own, number, ...claim }
    if (address === own) {
      this.receiveResponse(this.decide(request))
    } else {
      this.options.send(address, this.convertRevision(request))
    }
  }

  /** Queries the next address. After the last it starts over, since an instance that is starting or still learning the members decides a moment later. */
  private requestNext (number: number, pending: PendingClaim): void {
    const { clock } = this.options
    const now = clock.now()
    pending.cancel()
    if (now >= pending.deadline) {
      this.complete(number, { outcome: LimitOutcome.NotMine, role: LimitRole.None, decidedBy: '', retryAt: now })
      return
    }
    const [next, ...remaining] = pending.remaining
    pending.remaining = next === undefined ? this.ranking(pending.claim.key) : remaining
    pending.cancel = atAfterSilence(clock, Math.min(now + RESPONSE_TIMEOUT_MS, pending.deadline), () => this.handleTimeout(number, pending, next))
    if (next !== undefined) {
      pending.unanswered.add(next)
      pending.queried.add(next)
      this.sendRequest(next, number, pending.claim)
    }
  }

  private handleTimeout (number: number, pending: PendingClaim, queried: string | undefined): void {
    if (queried !== undefined && pending.unanswered.has(queried)) {
      this.skippedPeers.recordTimeout(queried)
    }
    this.requestNext(number, pending)
  }

  private receiveResponse ({ address, number, key, outcome, role, retryMs, free, owner }: LimitResponse): void {
    const now = this.options.clock.now()
    this.skippedPeers.recordAnswer(address)
    this.allowances.set(key, { tokens: free, expiresAt: now + ALLOWANCE_TTL_MS })
    const pending = this.pending.get(number)
    if (pending?.unanswered.delete(address) !== true) {
      return
    }
    if (outcome !== LimitOutcome.NotMine) {
      this.complete(number, { outcome, role, decidedBy: address, retryAt: now + retryMs })
      return
    }
    if (owner !== '' && !pending.queried.has(owner)) {
      pending.remaining = [owner, ...pending.remaining.filter(candidate => candidate !== owner)]
    }
    if (pending.remaining.length > 0) {
      this.requestNext(number, pending)
    }
  }

  private complete (number: number, result: LimitResult): void {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    pending?.cancel()
    pending?.onResult(result)
  }

  /** Asks the standby to leave the full rate to this owner, for as long as the key's bucket needs it to refill. */
  private renew (key: string): void {
    const { address, scope, clock, ranking, send } = this.options
    const now = clock.now()
    const [owner, standby] = ranking(key)
    const dueAt = this.ledger.renewalDueAt(key, now)
    if (dueAt === undefined || owner !== address || standby === undefined) {
      return
    }
    if (dueAt <= now) {
      this.ledger.recordRenewalRequest(key, now)
      send(standby, { kind: DatagramKind.LimitRenewal, scope, address, key, sentAt: now })
    }
    if (!this.renewals.has(key)) {
      this.renewals.add(key)
      clock.at(now + RENEWAL_MS, () => {
        this.renewals.delete(key)
        this.renew(key)
      })
    }
  }

  /** Decides on a claim in this instance's role for the key. */
  private decide ({ number, key, limit, cost, isTaken }: LimitRequest): LimitResponse {
    const { address, scope, clock, ranking, stableSince, instanceCount, onDecided } = this.options
    const now = clock.now()
    const ranked = ranking(key)
    const since = stableSince()
    const [, standby] = ranked
    if (standby === undefined) {
      // Without a standby no promise is needed.
      this.ledger.recordPromise(key, now)
    }
    const role = since === undefined ? LimitRole.None : rolesByRank[ranked.indexOf(address)] ?? LimitRole.None
    const { outcome, retryAt, free } = this.ledger.decide({ key, limit, cost, isTaken }, role, since ?? now, instanceCount(), now)
    this.renew(key)
    if (!isTaken) {
      onDecided(role, outcome)
    }
    return { kind: DatagramKind.LimitResponse, scope, address, number, key, outcome, role, retryMs: retryAt - now, free, owner: outcome === LimitOutcome.NotMine && ranked[0] !== address ? ranked[0] ?? '' : '' }
  }
}
