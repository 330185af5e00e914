/**
 * Decides on limits that all instances share, at the instance that owns each.
 *
 * The load it answers: many instances send to one limit, and each sees less than
 * one request of it. A share for each cannot work there: rounded down it refuses
 * nearly everything, rounded up it admits the limit many times over. So one
 * instance decides for a key, by a token bucket, and the others ask it.
 *
 * Who decides follows from the members: the first of a ranking is the owner, the
 * second its standby, the third a reserve. Two of them may decide at the same
 * time, for halves of a fleet that cannot hear each other. So the whole rate is the
 * owner's only while the standby has promised to hold back, for a moment and
 * again and again; without that promise each has half of it. The tolerance of the
 * limit pays for the rest: a little for the standby and the reserve at any time.
 *
 * An owner that starts needs no history: its bucket begins nearly empty and fills
 * at the limit's rate, and so does not repeat what the one before it granted.
 *
 * A limit holds over any window: the rate times the window, and the burst. A bucket
 * as deep as the burst would grant that burst once and the rate alone afterwards. So
 * it is half as deep, and fills faster: steady use gets in each window what the
 * limit says.
 */
import { RecentMap } from '../collections/recentMap.js'
import { ReturnTurns } from './returnTurns.js'
import { TokenBucket } from './tokenBucket.js'

/** What may be used of a key, over all instances. */
export interface SharedLimit {
  readonly perSecond: number
  /** Beside that, in any window. */
  readonly burst: number
  /** Of the configuration that set it, or when a server stated it; a higher one replaces it. */
  readonly revision: number
}

/** By how much a limit may be missed while instances cannot agree. */
export interface LimitTolerance {
  /** As a part of the limit. */
  readonly overage: number
  /** Beside that, in any time as long as the window. */
  readonly slack: number
  readonly windowMs: number
}

/** When those who were refused may ask again. */
export enum ReturnOrder {
  /** Each of them comes back: one after the other. */
  InTurn = 'in-turn',
  /** They go elsewhere: whoever asks first once there is room. */
  FirstCome = 'first-come'
}

/** What an instance is to a key's limit, in the order of its ranking. */
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
  /** Somebody else decides. */
  NotMine = 'not-mine'
}

export interface LimitClaim {
  readonly key: string
  readonly limit: SharedLimit
  readonly cost: number
  /** The request is already on its way: it is counted and cannot be refused. */
  readonly isTaken: boolean
}

export interface LimitDecision {
  readonly outcome: LimitOutcome
  /** When there is room, milliseconds of Unix time; for a refusal. */
  readonly retryAt: number
  /** What the asker may use in the next moment without waiting for a decision. */
  readonly free: number
}

/** A standby's promise holds for so long from when the owner asked for it, milliseconds: some thirty times a datagram's way and back on a busy machine. */
const PROMISE_MS = 500

/** The standby holds back for longer than the owner relies on it, milliseconds: no clock runs so fast. */
const PROMISE_MARGIN_MS = 200

/** Between two renewals, milliseconds: three may be lost. */
export const RENEWAL_MS = 150

/** A bucket that is fuller fills again soon enough without a promise. */
const RENEWAL_LEVEL = 0.75

/** Part of what is left that all instances together may use without waiting: as much is lost sight of if they cannot tell of it. */
const FREE_PART = 0.25

/** Depth of the owner's bucket, as a part of the burst. */
const DEPTH_PART = 0.5

/** Part of the tolerated overage that is used while all is well; the rest is for members that come and go, and for datagrams that are lost. */
const OVERAGE_PART = 0.7

/** Each of two that cannot hear each other has half of the rate. */
const HALF = 0.5

/** Parts of the slack: the rest pays for the one request by which a bucket may be in debt. */
const DEPTH_SLACK_PART = 1 / 4
const START_PART = 1 / 16
const STANDBY_PART = 1 / 8
const RESERVE_PART = 1 / 32

/** Keys remembered; more than one instance owns of 1,700 client accounts or 670 servers. */
const KEY_BOUND = 2048

interface KeyState {
  readonly bucket: TokenBucket
  role: LimitRole
  limit: SharedLimit
  /** The standby holds back until then; as the owner knows. */
  heldBackUntil: number
  renewedAt: number
  readonly returns: ReturnTurns
}

/** How a bucket fills in a role. */
interface Filling {
  readonly perMs: number
  readonly most: number
  /** Whether nobody else can decide when it is empty. */
  readonly isFinal: boolean
}

export class SharedLimitBook {
  private readonly states = RecentMap.create<KeyState>(KEY_BOUND)
  /** Keys for which this instance has promised to hold back, and until when. */
  private readonly promises = RecentMap.create<number>(KEY_BOUND)
  /** By role, at a moment. */
  private readonly fillings: Readonly<Record<LimitRole, (state: KeyState, isHeldBack: boolean, now: number) => Filling>>

  private constructor (private readonly tolerance: LimitTolerance, private readonly returnOrder: ReturnOrder) {
    const { overage, slack, windowMs } = tolerance
    this.fillings = {
      [LimitRole.Owner]: ({ limit, heldBackUntil }, _, now) => ({ perMs: this.perMs(limit) * (now < heldBackUntil ? 1 : HALF), most: limit.burst * DEPTH_PART + slack * DEPTH_SLACK_PART, isFinal: true }),
      [LimitRole.Standby]: ({ limit }, isHeldBack) => {
        const most = slack * STANDBY_PART + limit.burst * overage / 2
        return { perMs: isHeldBack ? slack * STANDBY_PART / windowMs : this.perMs(limit) * HALF, most, isFinal: !isHeldBack }
      },
      [LimitRole.Reserve]: () => ({ perMs: slack * RESERVE_PART / windowMs, most: slack * RESERVE_PART, isFinal: false }),
      [LimitRole.None]: () => ({ perMs: 0, most: 0, isFinal: false })
    }
  }

  static create (tolerance: LimitTolerance, returnOrder = ReturnOrder.InTurn): SharedLimitBook {
    return new SharedLimitBook(tolerance, returnOrder)
  }

  /**
   * Decides, and counts what it grants.
   * @param settledAt since when the members are those by which the role was computed, milliseconds of Unix time.
   * @param instances that there are.
   */
  decide (claim: LimitClaim, role: LimitRole, settledAt: number, instances: number, now: number): LimitDecision {
    if (role === LimitRole.None) {
      return { outcome: LimitOutcome.NotMine, retryAt: now, free: 0 }
    }
    const acting = this.actingRole(claim.key, role, now)
    const state = this.stateOf(claim, acting, settledAt, now)
    const filling = this.fill(claim.key, state, now)
    const isOwner = acting === LimitRole.Owner
    const isGranted = claim.isTaken || state.bucket.level > 0
    if (isGranted) {
      state.bucket.take(claim.cost)
    }
    return {
      outcome: isGranted ? LimitOutcome.Granted : filling.isFinal ? LimitOutcome.Refused : LimitOutcome.NotMine,
      retryAt: isGranted ? now : this.nextReturn(state, claim.cost, filling.perMs, now),
      free: isOwner ? Math.max(0, FREE_PART * state.bucket.level / instances) : 0
    }
  }

  /** When the standby's promise must be renewed, milliseconds of Unix time; undefined while it need not be, or is not this instance's to ask for. */
  renewalDueAt (key: string, now: number): number | undefined {
    const state = this.states.peek(key)
    if (state?.role !== LimitRole.Owner) {
      return undefined
    }
    this.fill(key, state, now)
    return state.bucket.level < RENEWAL_LEVEL * DEPTH_PART * state.limit.burst ? state.renewedAt + RENEWAL_MS : undefined
  }

  /** The standby was asked for its promise. */
  noteRenewal (key: string, now: number): void {
    const state = this.states.peek(key)
    if (state) {
      state.renewedAt = now
    }
  }

  /** A request that was counted has not run. */
  giveBack (key: string, cost: number): void {
    this.states.peek(key)?.bucket.giveBack(cost)
  }

  /** The standby answered a renewal that this owner sent then. */
  observePromise (key: string, sentAt: number): void {
    const state = this.states.peek(key)
    if (state) {
      state.heldBackUntil = Math.max(state.heldBackUntil, sentAt + PROMISE_MS)
    }
  }

  /** This standby holds back for the owner. */
  promise (key: string, now: number): void {
    const state = this.states.peek(key)
    if (state) {
      this.fill(key, state, now)
    }
    this.promises.set(key, now + PROMISE_MS + PROMISE_MARGIN_MS)
  }

  /** A promise binds whoever gave it: a new owner may be known to few yet, and the one before it among those that take themselves for it. */
  private actingRole (key: string, role: LimitRole, now: number): LimitRole {
    return role === LimitRole.Owner && this.isHeldBack(key, now) ? LimitRole.Standby : role
  }

  private isHeldBack (key: string, now: number): boolean {
    return now < (this.promises.peek(key) ?? 0)
  }

  private stateOf ({ key, limit }: LimitClaim, role: LimitRole, settledAt: number, now: number): KeyState {
    const known = this.states.get(key)
    if (!known) {
      const state: KeyState = { bucket: TokenBucket.create(this.tolerance.slack * START_PART, settledAt), role, limit, heldBackUntil: 0, renewedAt: 0, returns: ReturnTurns.create() }
      this.states.set(key, state)
      return state
    }
    if (known.role !== role) {
      // Whoever owned the key meanwhile has used it.
      known.bucket.beginAnew(this.tolerance.slack * START_PART, settledAt)
      known.role = role
    }
    if (limit.revision > known.limit.revision) {
      this.fill(key, known, now)
      known.limit = limit
    }
    return known
  }

  /** What all that decide may grant in a millisecond: with their buckets' depths it makes up what a window allows. */
  private perMs ({ perSecond, burst }: SharedLimit): number {
    const { overage, windowMs } = this.tolerance
    const allowed = (perSecond * windowMs / 1000 + burst) * (1 + overage * OVERAGE_PART)
    return (allowed - burst * (DEPTH_PART + overage / 2)) / windowMs
  }

  private fill (key: string, state: KeyState, now: number): Filling {
    if (state.heldBackUntil < now) {
      // Until the promise ran out, the bucket filled as it allowed.
      const { perMs, most } = this.fillings[state.role](state, false, state.heldBackUntil - 1)
      state.bucket.fill(perMs, most, state.heldBackUntil)
    }
    const filling = this.fillings[state.role](state, this.isHeldBack(key, now), now)
    state.bucket.fill(filling.perMs, filling.most, now)
    return filling
  }

  private nextReturn (state: KeyState, cost: number, perMs: number, now: number): number {
    const roomAt = now + state.bucket.emptyForMs(perMs)
    return this.returnOrder === ReturnOrder.InTurn ? state.returns.next(roomAt, cost / perMs, now) : roomAt
  }
}
