/**
 * Quotas of client accounts among the instances of a fleet. Each account has a
 * keeper, computed from the members, that decides for all; its next two in the
 * ranking take over within the bounds that `QuotaBook` sets. Each answer says what
 * its asker may use without waiting, so that far from the limit a request is only
 * counted there; near it one question is waited for.
 */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { QuotaBook, QuotaOutcome, QuotaRole, RENEWAL_MS, type QuotaClaim, type QuotaTolerance } from 'foxtaillever-policy/limits/quotaBook'
import { DatagramKind } from '../peers/datagram.js'
import { PassedOver, type PassedOverOptions } from '../peers/passedOver.js'
import type { QuotaAnswer, QuotaMessage, QuotaQuestion } from './quotaMessage.js'

/** One that does not answer for so long, milliseconds, is silent: a datagram's way is two at most, a busy loop takes tens. */
const ANSWER_MS = 50

/** Nobody waits for a decision for longer, milliseconds: as long as instances that all start at once differ. */
const MOST_WAIT_MS = 500

/** What may be used without a decision is forgotten after this, milliseconds. */
const FREE_MS = 500

/** Accounts of which something may be used without a decision. */
const FREE_BOUND = 2048

/** The ranking's places, in their order. */
const rolesByRank: readonly QuotaRole[] = [QuotaRole.Keeper, QuotaRole.StandIn, QuotaRole.Reserve]

/** Instances that may decide for an account. */
export const QUOTA_RANKS = rolesByRank.length

/** What came of a claim. */
export interface QuotaWord {
  /** Nobody decided where it is neither granted nor refused. */
  readonly outcome: QuotaOutcome
  readonly role: QuotaRole
  /** Who decided; empty for none. */
  readonly decidedBy: string
  /** When there is room, milliseconds of Unix time; for a refusal. */
  readonly retryAt: number
}

export interface QuotaTalkOptions extends PassedOverOptions {
  readonly clock: Clock
  readonly address: string
  readonly tolerance: QuotaTolerance
  /** Addresses of those that may decide for an account, the keeper first. */
  readonly ranking: (account: string) => readonly string[]
  /** Since when the members are those by which rankings are computed; undefined while they are not known yet. */
  readonly settledAt: () => number | undefined
  /** Those that there are, this one included. */
  readonly instances: () => number
  readonly send: (address: string, message: QuotaMessage) => void
  /** An instance spoke that may not be known here yet. */
  readonly onMet: (address: string) => void
  /** This instance decided on a claim of any instance. */
  readonly onDecided: (role: QuotaRole, outcome: QuotaOutcome) => void
}

interface Allowance {
  tokens: number
  /** Milliseconds of Unix time. */
  readonly until: number
}

interface Pending {
  readonly claim: QuotaClaim
  /** Those that have not been asked in this round, in their order. */
  left: readonly string[]
  /** Asked and not heard of. */
  readonly waiting: Set<string>
  /** All that were asked. */
  readonly asked: Set<string>
  readonly go: (word: QuotaWord) => void
  readonly until: number
  cancel: Cancellation
}

export class QuotaTalk {
  private readonly book: QuotaBook
  private readonly passedOver: PassedOver
  private readonly pending = new Map<number, Pending>()
  private readonly allowances = RecentMap.create<Allowance>(FREE_BOUND)
  /** Accounts whose promise will be looked at again. */
  private readonly renewing = new Set<string>()
  private number = 0

  private constructor (private readonly options: QuotaTalkOptions) {
    this.book = QuotaBook.create(options.tolerance)
    this.passedOver = PassedOver.create(options)
  }

  static create (options: QuotaTalkOptions): QuotaTalk {
    return new QuotaTalk(options)
  }

  /** Counts a request of an account and goes on when it is decided, at once where nobody need be waited for. */
  claim (claim: Omit<QuotaClaim, 'isTaken'>, go: (word: QuotaWord) => void): void {
    const { clock } = this.options
    const now = clock.now()
    const left = this.ranking(claim.account)
    const [first] = left
    if (first !== undefined && first !== this.options.address && this.isFree(claim, now)) {
      this.ask(first, this.number++, { ...claim, isTaken: true })
      go({ outcome: QuotaOutcome.Granted, role: QuotaRole.None, decidedBy: '', retryAt: now })
      return
    }
    const number = this.number++
    const pending: Pending = { claim: { ...claim, isTaken: false }, left, waiting: new Set(), asked: new Set(), go, until: now + MOST_WAIT_MS, cancel: () => {} }
    this.pending.set(number, pending)
    this.askNext(number, pending)
  }

  /** A request that was counted has not run. */
  giveBack (account: string, cost: number): void {
    const [keeper] = this.ranking(account)
    const { address, send } = this.options
    if (keeper === address) {
      this.book.giveBack(account, cost)
    } else if (keeper !== undefined) {
      send(keeper, { kind: DatagramKind.QuotaReturn, address, account, cost })
    }
  }

  hear (message: QuotaMessage): void {
    const { clock, address, send } = this.options
    switch (message.kind) {
      case DatagramKind.QuotaQuestion: send(message.address, this.answer(message)); break
      case DatagramKind.QuotaAnswer: this.hearAnswer(message); break
      case DatagramKind.QuotaReturn: this.book.giveBack(message.account, message.cost); break
      case DatagramKind.QuotaRenewal:
        // One that has just joined keeps the account now, and this instance has to know it.
        this.options.onMet(message.address)
        this.book.promise(message.account, clock.now())
        send(message.address, { ...message, kind: DatagramKind.QuotaPromise, address })
        break
      case DatagramKind.QuotaPromise: this.book.observePromise(message.account, message.sentAt); break
    }
  }

  /** Whether it need not wait for a decision; if so, it is taken off what need not. */
  private isFree ({ account, cost }: Omit<QuotaClaim, 'isTaken'>, now: number): boolean {
    const allowance = this.allowances.peek(account)
    if (!allowance || allowance.until <= now || allowance.tokens < cost) {
      return false
    }
    allowance.tokens -= cost
    return true
  }

  /** Those that answer, or all where none does. */
  private ranking (account: string): string[] {
    const ranking = this.options.ranking(account)
    const answering = ranking.filter(address => !this.passedOver.has(address))
    return answering.length > 0 ? answering : [...ranking]
  }

  private ask (address: string, number: number, claim: QuotaClaim): void {
    const question: QuotaQuestion = { kind: DatagramKind.QuotaQuestion, address: this.options.address, number, ...claim }
    if (address === this.options.address) {
      this.hearAnswer(this.answer(question))
    } else {
      this.options.send(address, question)
    }
  }

  /** Asks whoever is next. After the last it begins anew, since one that starts, or learns who the others are, decides a moment later. */
  private askNext (number: number, pending: Pending): void {
    const { clock } = this.options
    const now = clock.now()
    pending.cancel()
    if (now >= pending.until) {
      this.settle(number, { outcome: QuotaOutcome.NotMine, role: QuotaRole.None, decidedBy: '', retryAt: now })
      return
    }
    const [next, ...left] = pending.left
    pending.left = next === undefined ? this.ranking(pending.claim.account) : left
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

  private hearAnswer ({ address, number, account, outcome, role, retryMs, free, keeper }: QuotaAnswer): void {
    const now = this.options.clock.now()
    this.passedOver.hear(address)
    this.allowances.set(account, { tokens: free, until: now + FREE_MS })
    const pending = this.pending.get(number)
    if (pending?.waiting.delete(address) !== true) {
      return
    }
    if (outcome !== QuotaOutcome.NotMine) {
      this.settle(number, { outcome, role, decidedBy: address, retryAt: now + retryMs })
      return
    }
    if (keeper !== '' && !pending.asked.has(keeper)) {
      pending.left = [keeper, ...pending.left.filter(other => other !== keeper)]
    }
    if (pending.left.length > 0) {
      this.askNext(number, pending)
    }
  }

  private settle (number: number, word: QuotaWord): void {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    pending?.cancel()
    pending?.go(word)
  }

  /** Asks the stand-in to hold back, as long as the account's bucket has to fill at the whole rate. */
  private renew (account: string): void {
    const { address, clock, ranking, send } = this.options
    const now = clock.now()
    const [keeper, standIn] = ranking(account)
    const dueAt = this.book.renewalDueAt(account, now)
    if (dueAt === undefined || keeper !== address || standIn === undefined) {
      return
    }
    if (dueAt <= now) {
      this.book.noteRenewal(account, now)
      send(standIn, { kind: DatagramKind.QuotaRenewal, address, account, sentAt: now })
    }
    if (!this.renewing.has(account)) {
      this.renewing.add(account)
      clock.at(now + RENEWAL_MS, () => {
        this.renewing.delete(account)
        this.renew(account)
      })
    }
  }

  /** Decides as what this instance is to the account. */
  private answer ({ number, account, limit, cost, isTaken }: QuotaQuestion): QuotaAnswer {
    const { address, clock, ranking, settledAt, instances, onDecided } = this.options
    const now = clock.now()
    const ranked = ranking(account)
    const since = settledAt()
    const [, standIn] = ranked
    if (standIn === undefined) {
      // Alone there is nobody who would have to hold back.
      this.book.observePromise(account, now)
    }
    const role = since === undefined ? QuotaRole.None : rolesByRank[ranked.indexOf(address)] ?? QuotaRole.None
    const { outcome, retryAt, free } = this.book.decide({ account, limit, cost, isTaken }, role, since ?? now, instances(), now)
    this.renew(account)
    if (!isTaken) {
      onDecided(role, outcome)
    }
    return { kind: DatagramKind.QuotaAnswer, address, number, account, outcome, role, retryMs: retryAt - now, free, keeper: outcome === QuotaOutcome.NotMine && ranked[0] !== address ? ranked[0] ?? '' : '' }
  }
}
