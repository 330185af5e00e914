/**
 * Decides on limits that all instances share, at the instance that owns each limit.
 *
 * Load pattern: many instances send requests under one limit, and the share of each
 * is less than one request. Fixed shares cannot work there: rounded down they refuse
 * nearly everything, rounded up they admit the limit many times over. So one
 * instance decides for a key, by a token bucket, and the others query it.
 *
 * The deciding instance follows from the members: the first of a ranking is the
 * owner, the second its standby, the third a reserve. Two of them may decide at the
 * same time when the fleet is partitioned. So the owner uses the whole rate only
 * while it holds a promise of the standby to hold back, which it renews again and
 * again; without the promise each has half of the rate. The limit's tolerance covers
 * the small amounts that the standby and the reserve may grant at any time.
 *
 * A new owner needs no history: its bucket begins nearly empty and fills at the
 * limit's rate, so it does not grant again what the former owner granted.
 *
 * A limit holds over any window: the rate times the window, and the burst. A bucket
 * as deep as the burst would grant that burst once and the rate alone afterwards. So
 * it is half as deep and fills faster: steady use gets the full limit in each window.
 */
import { RecentMap } from '../collections/recentMap.js'
import { RetrySchedule } from './retrySchedule.js'
import { TokenBucket } from './tokenBucket.js'

/** The limit of a key over all instances. */
export interface SharedLimit {
  readonly perSecond: number
  /** Beyond the rate, in any window. */
  readonly burst: number
  /** Revision of the configuration that set the limit, or the time when a server stated it; a higher one replaces it. */
  readonly revision: number
}

/** By how much a limit may be exceeded while instances cannot agree. */
export interface LimitTolerance {
  /** As a part of the limit. */
  readonly overage: number
  /** Beyond that, in any window. */
  readonly slack: number
  readonly windowMs: number
}

/** When refused callers may retry. */
export enum RetryOrder {
  /** Every caller retries: they are scheduled one after the other. */
  InTurn = 'in-turn',
  /** Callers use other servers meanwhile: the first one to retry once there is capacity is granted. */
  FirstCome = 'first-come'
}

/** Role of an instance for a key's limit, in the order of the ranking. */
export enum LimitRole {
  Owner = 'owner',
  Standby = 'standby',
  Reserve = 'reserve',
  None = 'none'
}

export enum LimitOutcome {
  Granted = 'granted',
  /** Beyond the limit. */
  Refused = 'refused',
  /** Another instance decides. */
  NotMine = 'not-mine'
}

export interface LimitClaim {
  readonly key: string
  readonly limit: SharedLimit
  readonly cost: number
  /** The request has already been sent: it is counted and cannot be refused. */
  readonly isTaken: boolean
}

export interface LimitDecision {
  readonly outcome: LimitOutcome
  /** For a refusal: when there is capacity, milliseconds of Unix time. */
  readonly retryAt: number
  /** Amount that the querying instance may use next without waiting for a decision. */
  readonly free: number
}

/** How long a standby's promise holds after the owner requested it, milliseconds: some thirty round trips of a datagram on a busy machine. */
const PROMISE_MS = 500

/** How much longer the standby holds back than the owner relies on it, milliseconds: more than clocks differ in that time. */
const PROMISE_MARGIN_MS = 200

/** Between two renewals, milliseconds: three may be lost. */
export const RENEWAL_MS = 150

/** Above this part of its depth, a bucket fills soon enough without a promise. */
const RENEWAL_LEVEL = 0.75

/** Part of the remaining amount that all instances together may use without waiting: if they cannot report it, this much goes uncounted. */
const FREE_SHARE = 0.25

/** Depth of the owner's bucket, as a part of the burst. */
const DEPTH_SHARE = 0.5

/** Part of the tolerated overage that is used in normal operation; the rest is for changes of members and lost datagrams. */
const OVERAGE_SHARE = 0.7

/** Owner and standby each have half of the rate while they cannot reach each other. */
const HALF = 0.5

/** Parts of the slack: the rest covers the one request by which a bucket may be in debt. */
const DEPTH_SLACK_SHARE = 1 / 4
const START_SLACK_SHARE = 1 / 16
const STANDBY_SLACK_SHARE = 1 / 8
const RESERVE_SLACK_SHARE = 1 / 32

/** Maximum of remembered keys; more than one instance owns of 1,700 client accounts or 670 servers. */
const MAX_KEYS = 2048

interface KeyState {
  readonly bucket: TokenBucket
  role: LimitRole
  limit: SharedLimit
  /** Until when the standby holds back, as far as the owner knows. */
  heldBackUntil: number
  renewedAt: number
  readonly retries: RetrySchedule
}

/** How a bucket fills in a role. */
interface Filling {
  readonly perMs: number
  readonly most: number
  /** Whether no other instance can grant more when the bucket is empty. */
  readonly isFinal: boolean
}

export class SharedLimitLedger {
  private readonly states = RecentMap.create<KeyState>(MAX_KEYS)
  /** Keys for which this instance has promised to hold back, and until when. */
  private readonly promises = RecentMap.create<number>(MAX_KEYS)
  /** How a bucket fills in each role at a given time. */
  private readonly fillings: Readonly<Record<LimitRole, (state: KeyState, isHeldBack: boolean, now: number) => Filling>>

  private constructor (private readonly tolerance: LimitTolerance, private readonly retryOrder: RetryOrder) {
    const { overage, slack, windowMs } = tolerance
    this.fillings = {
      [LimitRole.Owner]: ({ limit, heldBackUntil }, _, now) => ({ perMs: this.perMs(limit) * (now < heldBackUntil ? 1 : HALF), most: limit.burst * DEPTH_SHARE + slack * DEPTH_SLACK_SHARE, isFinal: true }),
      [LimitRole.Standby]: ({ limit }, isHeldBack) => {
        const most = slack * STANDBY_SLACK_SHARE + limit.burst * overage / 2
        return { perMs: isHeldBack ? slack * STANDBY_SLACK_SHARE / windowMs : this.perMs(limit) * HALF, most, isFinal: !isHeldBack }
      },
      [LimitRole.Reserve]: () => ({ perMs: slack * RESERVE_SLACK_SHARE / windowMs, most: slack * RESERVE_SLACK_SHARE, isFinal: false }),
      [LimitRole.None]: () => ({ perMs: 0, most: 0, isFinal: false })
    }
  }

  static create (tolerance: LimitTolerance, retryOrder = RetryOrder.InTurn): SharedLimitLedger {
    return new SharedLimitLedger(tolerance, retryOrder)
  }

  /**
   * Decides on a claim and counts what it grants.
   * @param membersSince since when the members by which the role was computed have not changed, milliseconds of Unix time.
   * @param instances number of instances.
   */
  decide (claim: LimitClaim, role: LimitRole, membersSince: number, instances: number, now: number): LimitDecision {
    if (role === LimitRole.None) {
      return { outcome: LimitOutcome.NotMine, retryAt: now, free: 0 }
    }
    const acting = this.actingRole(claim.key, role, now)
    const state = this.stateOf(claim, acting, membersSince, now)
    const filling = this.fill(claim.key, state, now)
    const isOwner = acting === LimitRole.Owner
    const isGranted = claim.isTaken || state.bucket.level > 0
    if (isGranted) {
      state.bucket.take(claim.cost)
    }
    return {
      outcome: isGranted ? LimitOutcome.Granted : filling.isFinal ? LimitOutcome.Refused : LimitOutcome.NotMine,
      retryAt: isGranted ? now : this.nextRetryAt(state, claim.cost, filling.perMs, now),
      free: isOwner ? Math.max(0, FREE_SHARE * state.bucket.level / instances) : 0
    }
  }

  /** When the standby's promise must be renewed, milliseconds of Unix time; undefined when it need not be, or when this instance is not the owner. */
  renewalDueAt (key: string, now: number): number | undefined {
    const state = this.states.peek(key)
    if (state?.role !== LimitRole.Owner) {
      return undefined
    }
    this.fill(key, state, now)
    return state.bucket.level < RENEWAL_LEVEL * DEPTH_SHARE * state.limit.burst ? state.renewedAt + RENEWAL_MS : undefined
  }

  /** Records that the standby's promise was requested. */
  recordRenewalRequest (key: string, now: number): void {
    const state = this.states.peek(key)
    if (state) {
      state.renewedAt = now
    }
  }

  /** Refunds a request that was counted but has not run. */
  refund (key: string, cost: number): void {
    this.states.peek(key)?.bucket.refund(cost)
  }

  /** Records the standby's promise, by when this owner sent the request for it. */
  recordPromise (key: string, sentAt: number): void {
    const state = this.states.peek(key)
    if (state) {
      state.heldBackUntil = Math.max(state.heldBackUntil, sentAt + PROMISE_MS)
    }
  }

  /** Promises, as the standby, to hold back for the owner. */
  promiseToHoldBack (key: string, now: number): void {
    const state = this.states.peek(key)
    if (state) {
      this.fill(key, state, now)
    }
    this.promises.set(key, now + PROMISE_MS + PROMISE_MARGIN_MS)
  }

  /** A promise also binds an instance that has become the owner: few may know of that yet, and the former owner may still decide. */
  private actingRole (key: string, role: LimitRole, now: number): LimitRole {
    return role === LimitRole.Owner && this.isHeldBack(key, now) ? LimitRole.Standby : role
  }

  private isHeldBack (key: string, now: number): boolean {
    return now < (this.promises.peek(key) ?? 0)
  }

  private stateOf ({ key, limit }: LimitClaim, role: LimitRole, membersSince: number, now: number): KeyState {
    const known = this.states.get(key)
    if (!known) {
      const state: KeyState = { bucket: TokenBucket.create(this.tolerance.slack * START_SLACK_SHARE, membersSince), role, limit, heldBackUntil: 0, renewedAt: 0, retries: RetrySchedule.create() }
      this.states.set(key, state)
      return state
    }
    if (known.role !== role) {
      // The owner in the meantime has used the limit.
      known.bucket.restart(this.tolerance.slack * START_SLACK_SHARE, membersSince)
      known.role = role
    }
    if (limit.revision > known.limit.revision) {
      this.fill(key, known, now)
      known.limit = limit
    }
    return known
  }

  /** Amount that all deciding instances may grant in a millisecond: together with the depths of their buckets it is what a window allows. */
  private perMs ({ perSecond, burst }: SharedLimit): number {
    const { overage, windowMs } = this.tolerance
    const allowed = (perSecond * windowMs / 1000 + burst) * (1 + overage * OVERAGE_SHARE)
    return (allowed - burst * (DEPTH_SHARE + overage / 2)) / windowMs
  }

  private fill (key: string, state: KeyState, now: number): Filling {
    if (state.heldBackUntil < now) {
      // Until the promise expired, the bucket filled at the rate that the promise allowed.
      const { perMs, most } = this.fillings[state.role](state, false, state.heldBackUntil - 1)
      state.bucket.fill(perMs, most, state.heldBackUntil)
    }
    const filling = this.fillings[state.role](state, this.isHeldBack(key, now), now)
    state.bucket.fill(filling.perMs, filling.most, now)
    return filling
  }

  private nextRetryAt (state: KeyState, cost: number, perMs: number, now: number): number {
    const availableAt = now + state.bucket.msUntilAvailable(perMs)
    return this.retryOrder === RetryOrder.InTurn ? state.retries.nextRetryAt(availableAt, cost / perMs, now) : availableAt
  }
}
