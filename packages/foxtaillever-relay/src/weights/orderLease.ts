/**
 * The lease on giving orders, kept in a topic of the platform's store.
 *
 * A record is appended only if the topic ends at the expected offset, so of two
 * simultaneous appends one fails. The offset of the record is the fencing number, higher
 * than all before. The holder counts the term from before its append and by two clocks,
 * because a suspended machine's steady clock is paused. The next holder waits until the
 * last holder's term and the pause that users require between two holders have passed,
 * counted from when it learned of the record. A store restored from an older copy may
 * have lost the last record and does not show who held the lease last, so every instance
 * waits.
 */
import type { Clock } from 'foxtaillever-core'
import type { LeaseUpdate } from '../peers/peerMessage.js'
import { eraOf } from '../knowledge/storePosition.js'
import type { FenceLog } from './fenceLog.js'

/** Term of the lease, milliseconds: long compared with a slow answer of the store (240), short compared with the wait after a holder's death. */
const TERM_MS = 1200

/** A holder stops giving orders this long before its term ends, milliseconds: an order takes that long to arrive. */
const TERM_MARGIN_MS = 300

/** The lease is renewed when less than this is left, milliseconds. */
const RENEW_MS = 450

/** Stands for a holder that is not known; every instance waits for its term to end. */
const UNKNOWN_HOLDER = 'unknown'

export interface OrderLeaseOptions {
  readonly clock: Clock
  /** A clock that includes suspension, seconds; if it jumps, the lease ends early at worst. */
  readonly uptime: () => number
  readonly log: FenceLog
  readonly topic: string
  /** This machine as a holder; see `leaseHolderOf`. */
  readonly holder: string
  /** Drawn at each start: a restarted process does not inherit its lease. */
  readonly incarnation: string
  /** Pause between the orders of two holders, milliseconds. */
  readonly pauseMs: number
  readonly onChanged: (snapshot: LeaseUpdate) => void
  readonly onReleased: () => void
}

/** The newest known record. */
interface LastRecord {
  readonly offset: number
  readonly holder: string
  /** The record was appended at this time or before, milliseconds of Unix time. */
  readonly knownSince: number
}

/** An append whose answer was lost. */
interface UnansweredAppend {
  readonly at: number
  readonly sentAt: number
  readonly sentUptime: number
}

export class OrderLease {
  private last: LastRecord | undefined
  private unanswered: UnansweredAppend | undefined
  private heldUntil = 0
  private heldUntilUptime = 0
  private isRequesting = false

  private constructor (private readonly options: OrderLeaseOptions) {}

  static create (options: OrderLeaseOptions): OrderLease {
    return new OrderLease(options)
  }

  /** The fencing number for an order that leaves now; undefined when the lease is not held. */
  fence (): number | undefined {
    const { clock, uptime } = this.options
    const isHeld = clock.now() < this.heldUntil && uptime() < this.heldUntilUptime
    return isHeld ? this.last?.offset : undefined
  }

  /** The last known holder; see `leaseHolderOf`. */
  get lastHolder (): string | undefined {
    return this.last?.holder
  }

  /** Ends the lease here: an engine has seen a higher fencing number, so another instance holds the lease, whatever the clocks say. */
  drop (): void {
    this.heldUntil = 0
  }

  /**
   * Releases the lease and announces it. The announced age leaves of the term only the
   * time that an order may be on its way, so the next holder waits for the pause only.
   */
  release (): void {
    const { clock, onReleased } = this.options
    if (this.last !== undefined && this.fence() !== undefined) {
      this.heldUntil = 0
      this.last = { ...this.last, knownSince: Math.min(this.last.knownSince, clock.now() + TERM_MARGIN_MS - TERM_MS) }
      onReleased()
    }
  }

  /** Whether this instance was the last holder and waits for the answer to another append. */
  get isRenewing (): boolean {
    return this.isRequesting && this.last?.holder === this.options.holder
  }

  snapshot (): LeaseUpdate | undefined {
    return this.last && { offset: this.last.offset, holder: this.last.holder, ageMs: this.options.clock.now() - this.last.knownSince }
  }

  /** Applies what another instance knows of the lease. */
  applySnapshot ({ offset, holder, ageMs }: LeaseUpdate): void {
    const knownSince = this.options.clock.now() - ageMs
    if (offset > (this.last?.offset ?? -1)) {
      this.last = { offset, holder, knownSince }
      this.heldUntil = 0
    } else if (offset === this.last?.offset && holder === this.last.holder && knownSince < this.last.knownSince && this.fence() === undefined) {
      this.last = { ...this.last, knownSince }
    }
  }

  /** Whether the last holder may still give orders, or the pause after its term is not over. */
  private mustWait (now: number): boolean {
    const { last, options } = this
    return last !== undefined && last.holder !== options.holder && now < last.knownSince + TERM_MS + options.pauseMs
  }

  /** Acquires or renews the lease; returns whether it is held. A renewal is not awaited, so that orders continue meanwhile. */
  async acquire (): Promise<boolean> {
    const now = this.options.clock.now()
    const isHeld = this.fence() !== undefined
    const isFresh = isHeld && this.heldUntil - now > RENEW_MS
    if (!isFresh && !this.isRequesting && !this.mustWait(now)) {
      const requested = this.requestLease(now)
      if (!isHeld) {
        await requested
      }
    }
    return this.fence() !== undefined
  }

  private async requestLease (now: number): Promise<void> {
    this.isRequesting = true
    await this.append(now)
    this.isRequesting = false
  }

  private async append (sentAt: number): Promise<void> {
    const { log, topic, uptime } = this.options
    const at = this.last === undefined ? 0 : this.last.offset + 1
    const sentUptime = uptime()
    const answer = await log.append(topic, at, this.record())
    await answer.caseOf({
      Left: async () => {
        // The record may have been appended or may still be. The term counts from the first append at this offset.
        this.unanswered = this.unanswered?.at === at ? this.unanswered : { at, sentAt, sentUptime }
      },
      Right: async ({ isAppended, end }) => isAppended ? this.markHeld({ at, sentAt, sentUptime }) : await this.learnHolder(at, end)
    })
  }

  private record (): Buffer {
    const { holder, incarnation } = this.options
    return Buffer.from(JSON.stringify({ holder, incarnation }))
  }

  private markHeld ({ at, sentAt, sentUptime }: UnansweredAppend): void {
    const { holder, onChanged } = this.options
    const termMs = TERM_MS - TERM_MARGIN_MS
    this.unanswered = undefined
    this.last = { offset: at, holder, knownSince: sentAt }
    this.heldUntil = sentAt + termMs
    this.heldUntilUptime = sentUptime + termMs / 1000
    onChanged({ offset: at, holder, ageMs: 0 })
  }

  /** The topic ends at another offset: another instance has the lease, or an answer to this instance was lost. */
  private async learnHolder (at: number, end: number): Promise<void> {
    const { log, topic, clock } = this.options
    const offset = end - 1
    const found = await log.readAt(topic, offset)
    const record = found.orDefault(undefined)?.toString()
    if (this.unanswered?.at === offset && record === this.record().toString()) {
      this.markHeld(this.unanswered)
      return
    }
    this.heldUntil = 0
    const isSameEra = eraOf(end) === eraOf(at)
    this.last = { offset, holder: isSameEra ? holderOf(record) : UNKNOWN_HOLDER, knownSince: clock.now() }
  }
}

function holderOf (record: string | undefined): string {
  try {
    return String((JSON.parse(record ?? '') as { holder?: unknown }).holder)
  } catch {
    // A record that cannot be read was written by another release; its holder's term counts like any other.
    return UNKNOWN_HOLDER
  }
}
