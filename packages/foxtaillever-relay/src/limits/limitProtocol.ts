/**
 * Limits that the instances of a fleet share. Each key has an owner, computed from
 * the members, that decides for all; the next two in the ranking take over within
 * the bounds that `SharedLimitBook` sets. Each answer says what its asker may use
 * without waiting, so that far from the limit a request is only counted there; near
 * it one question is waited for.
 */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { SharedLimitLedger, LimitOutcome, LimitRole, RENEWAL_MS, type LimitClaim, type LimitTolerance, type RetryOrder } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { DatagramKind } from '../peers/datagram.js'
import { PassedOver, type PassedOverOptions } from '../peers/passedOver.js'
import { LimitScope, type LimitAnswer, type LimitMessage, type LimitQuestion } from './limitMessage.js'

/** One that does not answer for so long, milliseconds, is silent: a datagram's way is two at most, a busy loop takes tens. */
const ANSWER_MS = 50

/** What may be used without a decision is forgotten after this, milliseconds. */
const FREE_MS = 500

/** Keys of which something may be used without a decision. */
const FREE_BOUND = 2048

/** The ranking's places, in their order. */
const rolesByRank: readonly LimitRole[] = [LimitRole.Owner, LimitRole.Standby, LimitRole.Reserve]

/** How the revision of a limit travels; the same way back. */
const revisionOnWire: Readonly<Record<LimitScope, (revision: number, now: number) => number>> = {
  [LimitScope.Account]: revision => revision,
  // When a server stated it: an age, since the clocks of instances differ.
  [LimitScope.Server]: (statedAt, now) => now - statedAt
}

/** Instances that may decide for a key. */
export const LIMIT_RANKS = rolesByRank.length

/** What came of a claim. */
export interface LimitResult {
  /** Nobody decided where it is neither granted nor refused. */
  readonly outcome: LimitOutcome
  readonly role: LimitRole
  /** Who decided; empty for none. */
  readonly decidedBy: string
  /** When there is room, milliseconds of Unix time; for a refusal. */
  readonly retryAt: number
}

/** How limits of one scope are held. */
export interface LimitKind {
  readonly scope: LimitScope
  readonly tolerance: LimitTolerance
  readonly returnOrder: RetryOrder
  /** Nobody waits for a decision for longer, milliseconds. */
  readonly mostWaitMs: number
}

export interface LimitProtocolOptions extends LimitKind, PassedOverOptions {
  readonly clock: Clock
  readonly address: string
  /** Addresses of those that may decide for a key, the owner first. */
  readonly ranking: (key: string) => readonly string[]
  /** Since when the members are those by which rankings are computed; undefined while they are not known yet. */
  readonly settledAt: () => number | undefined
  /** Those that there are, this one included. */
  readonly instances: () => number
  readonly send: (address: string, message: LimitMessage) => void
  /** An instance spoke that may not be known here yet. */
  readonly onMet: (address: string) => void
  /** This instance decided on a claim of any instance. */
  readonly onDecided: (role: LimitRole, outcome: LimitOutcome) => void
}

/** Where all requests may run, as among servers that state no limit. */
export const noSharedLimits: Pick<LimitProtocol, 'claim' | 'giveBack'> = {
  claim: (_, go) => go({ outcome: LimitOutcome.Granted, role: LimitRole.None, decidedBy: '', retryAt: 0 }),
  giveBack: () => {}
}

interface Allowance {
  tokens: number
  /** Milliseconds of Unix time. */
  readonly until: number
}

interface Pending {
  readonly claim: LimitClaim
  /** Those that have not been asked in this round, in their order. */
  left: readonly string[]
  /** Asked and not heard of. */
  readonly waiting: Set<string>
  /** All that were asked. */
  readonly asked: Set<string>
  readonly go: (result: LimitResult) => void
  readonly until: number
  cancel: Cancellation
}

export class LimitProtocol {
  private readonly book: SharedLimitLedger
  private readonly passedOver: PassedOver
  private readonly pending = new Map<number, Pending>()
  private readonly allowances = RecentMap.create<Allowance>(FREE_BOUND)
  /** Keys whose promise will be looked at again. */
  private readonly renewing = new Set<string>()
  private number = 0

  private constructor (private readonly options: LimitProtocolOptions) {
    this.book = SharedLimitLedger.create(options.tolerance, options.returnOrder)
    this.passedOver = PassedOver.create(options)
  }

  static create (options: LimitProtocolOptions): LimitProtocol {
    return new LimitProtocol(options)
  }

  /** Counts a request of a key and goes on when it is decided, at once where nobody need be waited for. */
  claim (claim: Omit<LimitClaim, 'isTaken'>, go: (result: LimitResult) => void): void {
    const { clock, mostWaitMs } = this.options
    const now = clock.now()
    const left = this.ranking(claim.key)
    const [first] = left
    if (first !== undefined && first !== this.options.address && this.isFree(claim, now)) {
      this.ask(first, this.number++, { ...claim, isTaken: true })
      go({ outcome: LimitOutcome.Granted, role: LimitRole.None, decidedBy: '', retryAt: now })
      return
    }
    const number = this.number++
    const pending: Pending = { claim: { ...claim, isTaken: false }, left, waiting: new Set(), asked: new Set(), go, until: now + mostWaitMs, cancel: () => {} }
    this.pending.set(number, pending)
    this.askNext(number, pending)
  }

  /** A request that was counted has not run. */
  giveBack (key: string, cost: number): void {
    const [owner] = this.ranking(key)
    const { address, scope, send } = this.options
    if (owner === address) {
      this.book.refund(key, cost)
    } else if (owner !== undefined) {
      send(owner, { kind: DatagramKind.LimitReturn, scope, address, key, cost })
    }
  }

  hear (message: LimitMessage): void {
    const { clock, address, send } = this.options
    switch (message.kind) {
      case DatagramKind.LimitQuestion: send(message.address, this.answer(this.convert(message))); break
      case DatagramKind.LimitAnswer: this.hearAnswer(message); break
      case DatagramKind.LimitReturn: this.book.refund(message.key, message.cost); break
      case DatagramKind.LimitRenewal:
        // One that has just joined owns the key now, and this instance has to know it.
        this.options.onMet(message.address)
        this.book.promiseToHoldBack(message.key, clock.now())
        send(message.address, { ...message, kind: DatagramKind.LimitPromise, address })
        break
      case DatagramKind.LimitPromise: this.book.recordPromise(message.key, message.sentAt); break
    }
  }

  /** Whether it need not wait for a decision; if so, it is taken off what need not. */
  private isFree ({ key, cost }: Omit<LimitClaim, 'isTaken'>, now: number): boolean {
    const allowance = this.allowances.peek(key)
    if (!allowance || allowance.until <= now || allowance.tokens < cost) {
      return false
    }
    allowance.tokens -= cost
    return true
  }

  /** Those that answer, or all where none does. */
  private ranking (key: string): string[] {
    const ranking = this.options.ranking(key)
    const answering = ranking.filter(address => !this.passedOver.has(address))
    return answering.length > 0 ? answering : [...ranking]
  }

  /** Between this instance's clock and the wire. */
  private convert (question: LimitQuestion): LimitQuestion {
    const { limit } = question
    return { ...question, limit: { ...limit, revision: revisionOnWire[this.options.scope](limit.revision, this.options.clock.now()) } }
  }

  private ask (address: string, number: number, claim: LimitClaim): void {
    const { address: own, scope } = this.options
    const question: LimitQuestion = { kind: DatagramKind.LimitQuestion, scope, address: own, number, ...claim }
    if (address === own) {
      this.hearAnswer(this.answer(question))
    } else {
      this.options.send(address, this.convert(question))
    }
  }

  /** Asks whoever is next. After the last it begins anew, since one that starts, or learns who the others are, decides a moment later. */
  private askNext (number: number, pending: Pending): void {
    const { clock } = this.options
    const now = clock.now()
    pending.cancel()
    if (now >= pending.until) {
      this.settle(number, { outcome: LimitOutcome.NotMine, role: LimitRole.None, decidedBy: '', retryAt: now })
      return
    }
    const [next, ...left] = pending.left
    pending.left = next === undefined ? this.ranking(pending.claim.key) : left
    pending.cancel = atAfterSilence(clock, Math.min(now + ANSWER_MS, pending.until), () => this.miss(number, pending, next))
    if (next !== undefined) {
      pending.waiting.add(next)
      pending.asked.add(next)
      this.ask(next, number, pending.claim)
    }
  }

  private miss (number: number, pending: Pending, asked: string | undefined): void {
    if (asked !== undefined && pending.waiting.has(asked)) {
      this.passedOver.miss(asked)
    }
    this.askNext(number, pending)
  }

  private hearAnswer ({ address, number, key, outcome, role, retryMs, free, owner }: LimitAnswer): void {
    const now = this.options.clock.now()
    this.passedOver.hear(address)
    this.allowances.set(key, { tokens: free, until: now + FREE_MS })
    const pending = this.pending.get(number)
    if (pending?.waiting.delete(address) !== true) {
      return
    }
    if (outcome !== LimitOutcome.NotMine) {
      this.settle(number, { outcome, role, decidedBy: address, retryAt: now + retryMs })
      return
    }
    if (owner !== '' && !pending.asked.has(owner)) {
      pending.left = [owner, ...pending.left.filter(other => other !== owner)]
    }
    if (pending.left.length > 0) {
      this.askNext(number, pending)
    }
  }

  private settle (number: number, result: LimitResult): void {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    pending?.cancel()
    pending?.go(result)
  }

  /** Asks the standby to hold back, as long as the key's bucket has to fill at the whole rate. */
  private renew (key: string): void {
    const { address, scope, clock, ranking, send } = this.options
    const now = clock.now()
    const [owner, standby] = ranking(key)
    const dueAt = this.book.renewalDueAt(key, now)
    if (dueAt === undefined || owner !== address || standby === undefined) {
      return
    }
    if (dueAt <= now) {
      this.book.recordRenewalRequest(key, now)
      send(standby, { kind: DatagramKind.LimitRenewal, scope, address, key, sentAt: now })
    }
    if (!this.renewing.has(key)) {
      this.renewing.add(key)
      clock.at(now + RENEWAL_MS, () => {
        this.renewing.delete(key)
        this.renew(key)
      })
    }
  }

  /** Decides as what this instance is to the key. */
  private answer ({ number, key, limit, cost, isTaken }: LimitQuestion): LimitAnswer {
    const { address, scope, clock, ranking, settledAt, instances, onDecided } = this.options
    const now = clock.now()
    const ranked = ranking(key)
    const since = settledAt()
    const [, standby] = ranked
    if (standby === undefined) {
      // Alone there is nobody who would have to hold back.
      this.book.recordPromise(key, now)
    }
    const role = since === undefined ? LimitRole.None : rolesByRank[ranked.indexOf(address)] ?? LimitRole.None
    const { outcome, retryAt, free } = this.book.decide({ key, limit, cost, isTaken }, role, since ?? now, instances(), now)
    this.renew(key)
    if (!isTaken) {
      onDecided(role, outcome)
    }
    return { kind: DatagramKind.LimitAnswer, scope, address, number, key, outcome, role, retryMs: retryAt - now, free, owner: outcome === LimitOutcome.NotMine && ranked[0] !== address ? ranked[0] ?? '' : '' }
  }
}
