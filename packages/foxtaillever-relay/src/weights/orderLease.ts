/**
 * The lease on giving orders, kept in a topic of the platform's store.
 *
 * A record is appended only where the topic is known to end, so of two that try
 * at once one fails, and its offset is the fencing number, higher than every
 * one before. The holder counts the term from before its append and by two
 * clocks, because a suspended machine's steady clock stands still. Whoever takes
 * over waits until the last holder's term and the pause that the users ask for
 * between two holders have passed, counted from when the record was learned. A
 * store that was restored from an older copy may have lost the last record, and
 * says nothing of who held the lease last: everybody waits.
 */
import type { Clock } from 'foxtaillever-core'
import type { LeaseUpdate } from '../peers/peerMessage.js'
import { eraOf } from '../knowledge/storePosition.js'
import type { FenceLog } from './fenceLog.js'

/** Long against a slow answer of the store, 240, short against the wait after a holder's death, milliseconds. */
const TERM_MS = 1200

/** A holder stops this long before its term is over: an order takes that long to arrive, milliseconds. */
const TERM_MARGIN_MS = 300

/** Renewed when less than this is left, milliseconds. */
const RENEW_MS = 450

/** Is waited out by everybody. */
const UNKNOWN_HOLDER = 'unknown'

export interface OrderLeaseOptions {
  readonly clock: Clock
  /** A clock that counts suspension, seconds; a step of it ends the lease early at worst. */
  readonly uptime: () => number
  readonly log: FenceLog
  readonly topic: string
  readonly holder: string
  /** Drawn at each start: a restarted process does not inherit its lease. */
  readonly incarnation: string
  /** Between the orders of two holders, milliseconds. */
  readonly pauseMs: number
  readonly onChanged: (news: LeaseUpdate) => void
  readonly onReleased: () => void
}

/** The newest record that is known. */
interface LastRecord {
  readonly offset: number
  readonly holder: string
  /** No later than this it was appended, milliseconds of Unix time. */
  readonly knownSince: number
}

/** An append whose answer was lost. */
interface OpenAppend {
  readonly at: number
  readonly sentAt: number
  readonly sentUptime: number
}

export class OrderLease {
  private last: LastRecord | undefined
  private open: OpenAppend | undefined
  private heldUntil = 0
  private heldUntilUptime = 0
  private isAsking = false

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

  /** Who held it last, as far as is known. */
  get lastHolder (): string | undefined {
    return this.last?.holder
  }

  /** An engine has seen a higher fencing number: the lease is another's, whatever the clocks say. */
  drop (): void {
    this.heldUntil = 0
  }

  /**
   * Gives no more orders under this lease, and says so: by an age at which the
   * term is over but for the time that an order may be on its way, so that the
   * next holder waits for the pause only.
   */
  release (): void {
    const { clock, onReleased } = this.options
    if (this.last !== undefined && this.fence() !== undefined) {
      this.heldUntil = 0
      this.last = { ...this.last, knownSince: Math.min(this.last.knownSince, clock.now() + TERM_MARGIN_MS - TERM_MS) }
      onReleased()
    }
  }

  /** It was this instance's last, and an answer to another append is still to come. */
  get isRenewing (): boolean {
    return this.isAsking && this.last?.holder === this.options.holder
  }

  news (): LeaseUpdate | undefined {
    return this.last && { offset: this.last.offset, holder: this.last.holder, ageMs: this.options.clock.now() - this.last.knownSince }
  }

  /** Takes what another instance knows. */
  observe ({ offset, holder, ageMs }: LeaseUpdate): void {
    const knownSince = this.options.clock.now() - ageMs
    if (offset > (this.last?.offset ?? -1)) {
      this.last = { offset, holder, knownSince }
      this.heldUntil = 0
    } else if (offset === this.last?.offset && holder === this.last.holder && knownSince < this.last.knownSince && this.fence() === undefined) {
      this.last = { ...this.last, knownSince }
    }
  }

  /** Whether the last holder may still give orders, or stopped too short a time ago. */
  private mustWait (now: number): boolean {
    const { last, options } = this
    return last !== undefined && last.holder !== options.holder && now < last.knownSince + TERM_MS + options.pauseMs
  }

  /** Asks for the lease or renews it; says whether it is held. Engines are not left alone while a renewal takes its time. */
  async take (): Promise<boolean> {
    const now = this.options.clock.now()
    const isHeld = this.fence() !== undefined
    const isFresh = isHeld && this.heldUntil - now > RENEW_MS
    if (!isFresh && !this.isAsking && !this.mustWait(now)) {
      const asked = this.ask(now)
      if (!isHeld) {
        await asked
      }
    }
    return this.fence() !== undefined
  }

  private async ask (now: number): Promise<void> {
    this.isAsking = true
    await this.append(now)
    this.isAsking = false
  }

  private async append (sentAt: number): Promise<void> {
    const { log, topic, uptime } = this.options
    const at = this.last === undefined ? 0 : this.last.offset + 1
    const sentUptime = uptime()
    const answer = await log.append(topic, at, this.record())
    await answer.caseOf({
      Left: async () => {
        // It may have been appended, or may be yet: the first one counts the term.
        this.open = this.open?.at === at ? this.open : { at, sentAt, sentUptime }
      },
      Right: async ({ isAppended, end }) => isAppended ? this.hold({ at, sentAt, sentUptime }) : await this.learn(at, end)
    })
  }

  private record (): Buffer {
    const { holder, incarnation } = this.options
    return Buffer.from(JSON.stringify({ holder, incarnation }))
  }

  private hold ({ at, sentAt, sentUptime }: OpenAppend): void {
    const { holder, onChanged } = this.options
    const termMs = TERM_MS - TERM_MARGIN_MS
    this.open = undefined
    this.last = { offset: at, holder, knownSince: sentAt }
    this.heldUntil = sentAt + termMs
    this.heldUntilUptime = sentUptime + termMs / 1000
    onChanged({ offset: at, holder, ageMs: 0 })
  }

  /** The topic ends elsewhere: another has the lease, or an answer to this instance was lost. */
  private async learn (at: number, end: number): Promise<void> {
    const { log, topic, clock } = this.options
    const offset = end - 1
    const found = await log.readAt(topic, offset)
    const record = found.orDefault(undefined)?.toString()
    if (this.open?.at === offset && record === this.record().toString()) {
      this.hold(this.open)
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
    // A record that cannot be read was written by another release; its holder is waited out like any other.
    return UNKNOWN_HOLDER
  }
}
