/**
 * The lease on giving orders, kept in a topic of the platform's store.
 *
 * A record is appended only where the topic is known to end, so of two that try
 * at once one fails, and its offset is the fencing number, higher than every
 * one before. The holder counts the term from before its append and by two
 * clocks, because a suspended machine's steady clock stands still. Whoever takes
 * over waits until the last holder's term and the pause that the users ask for
 * between two holders have passed, counted from when the record was learned.
 *
 * An append may be carried out though its answer is lost, and the instance that
 * asked may reach the store no more. All others would wait for a holder that
 * never ordered, seconds in which engines keep replaced weights. So it promises
 * the others at once that it gives no orders under that record, whether or not
 * there is one, and they wait only for the orders that it gave before.
 */
import type { Clock } from 'foxtaillever-core'
import type { LeaseNews, LeaseResignation } from '../peers/peerMessage.js'
import type { FenceLog } from './fenceLog.js'

/** Long against a slow answer of the store, 240, short against the wait after a holder's death, milliseconds. */
const TERM_MS = 1200

/** A holder stops this long before its term is over: an order takes that long to arrive, milliseconds. */
const TERM_MARGIN_MS = 300

/** Renewed when less than this is left, milliseconds. */
const RENEW_MS = 450

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
  readonly onChanged: (news: LeaseNews) => void
  /** It promised to give no more orders, which the others should know. */
  readonly onResigned: (resignation: LeaseResignation) => void
}

/** The newest record that is known. */
interface LastRecord {
  readonly offset: number
  readonly holder: string
  readonly incarnation: string
  /** No later than this it was appended, milliseconds of Unix time. */
  readonly knownSince: number
}

interface SentAppend {
  readonly at: number
  readonly sentAt: number
  readonly sentUptime: number
}

/** What another process promised. */
interface Resignation {
  readonly offset: number
  /** Milliseconds of Unix time. */
  readonly quietSince: number
}

/** Promises that are remembered: each instance makes few, and only the newest count. */
const MOST_RESIGNATIONS = 256

export class OrderLease {
  private last: LastRecord | undefined
  /** Under records up to this one it gives no orders. */
  private resignedThrough = -1
  /** It could give orders until then at most, milliseconds of Unix time. */
  private quietSince: number
  /** By the process that promised. */
  private readonly resignations = new Map<string, Resignation>()
  private heldUntil = 0
  private heldUntilUptime = 0
  private isAsking = false

  private constructor (private readonly options: OrderLeaseOptions) {
    this.quietSince = options.clock.now()
  }

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
    this.quietSince = Math.min(this.quietSince, this.options.clock.now())
  }

  news (): LeaseNews | undefined {
    return this.last && { offset: this.last.offset, holder: this.last.holder, incarnation: this.last.incarnation, ageMs: this.options.clock.now() - this.last.knownSince }
  }

  /** What this process promised last. */
  resignation (): LeaseResignation | undefined {
    const { options: { clock, incarnation }, resignedThrough, quietSince } = this
    return resignedThrough === -1 ? undefined : { incarnation, offset: resignedThrough, quietMs: Math.max(0, clock.now() - quietSince) }
  }

  /** Takes what another process promised. */
  observeResigned ({ incarnation, offset, quietMs }: LeaseResignation): void {
    this.resignations.delete(incarnation)
    this.resignations.set(incarnation, { offset, quietSince: this.options.clock.now() - quietMs })
    for (const oldest of [...this.resignations.keys()].slice(0, -MOST_RESIGNATIONS)) {
      this.resignations.delete(oldest)
    }
  }

  /** Takes what another instance knows. */
  observe ({ offset, holder, incarnation, ageMs }: LeaseNews): void {
    const knownSince = this.options.clock.now() - ageMs
    if (offset > (this.last?.offset ?? -1)) {
      this.last = { offset, holder, incarnation, knownSince }
      this.drop()
    } else if (offset === this.last?.offset && holder === this.last.holder && knownSince < this.last.knownSince && this.fence() === undefined) {
      this.last = { ...this.last, knownSince }
    }
  }

  /** Whether the last holder may still give orders, or stopped too short a time ago. */
  private mustWait (now: number): boolean {
    const { last, options } = this
    if (last === undefined || last.holder === options.holder) {
      return false
    }
    const resigned = this.resignations.get(last.incarnation)
    const quietSince = resigned && resigned.offset >= last.offset ? resigned.quietSince + TERM_MARGIN_MS : Infinity
    return now < Math.min(quietSince, last.knownSince + TERM_MS) + options.pauseMs
  }

  /** Asks for the lease or renews it; says whether it is held. */
  async take (): Promise<boolean> {
    const { clock } = this.options
    const now = clock.now()
    const isFresh = this.fence() !== undefined && this.heldUntil - now > RENEW_MS
    if (isFresh || this.isAsking || this.mustWait(now)) {
      return this.fence() !== undefined
    }
    this.isAsking = true
    await this.append(now)
    this.isAsking = false
    return this.fence() !== undefined
  }

  private async append (sentAt: number): Promise<void> {
    const { log, topic, uptime } = this.options
    const at = this.last === undefined ? 0 : this.last.offset + 1
    const sentUptime = uptime()
    const answer = await log.append(topic, at, this.record())
    await answer.caseOf({
      Left: async () => this.resign(at),
      Right: async ({ isAppended, end }) => isAppended ? this.hold({ at, sentAt, sentUptime }) : await this.learn(end)
    })
  }

  private record (): Buffer {
    const { holder, incarnation } = this.options
    return Buffer.from(JSON.stringify({ holder, incarnation }))
  }

  /** It may have been appended, or may be yet. */
  private resign (at: number): void {
    this.drop()
    this.resignedThrough = Math.max(this.resignedThrough, at)
    const resignation = this.resignation()
    if (resignation) {
      this.options.onResigned(resignation)
    }
  }

  private hold ({ at, sentAt, sentUptime }: SentAppend): void {
    const { holder, incarnation, onChanged } = this.options
    const termMs = TERM_MS - TERM_MARGIN_MS
    this.last = { offset: at, holder, incarnation, knownSince: sentAt }
    if (at <= this.resignedThrough) {
      return
    }
    this.heldUntil = sentAt + termMs
    this.quietSince = this.heldUntil
    this.heldUntilUptime = sentUptime + termMs / 1000
    onChanged({ offset: at, holder, incarnation, ageMs: 0 })
  }

  /** The topic ends elsewhere: another has the lease, or an answer to this instance was lost, which it does not take up any more. */
  private async learn (end: number): Promise<void> {
    const { log, topic, clock } = this.options
    const offset = end - 1
    const found = await log.readAt(topic, offset)
    this.drop()
    this.last = { offset, ...readRecord(found.orDefault(undefined)), knownSince: clock.now() }
  }
}

function readRecord (record: Buffer | undefined): Pick<LastRecord, 'holder' | 'incarnation'> {
  try {
    const { holder, incarnation } = JSON.parse(record?.toString() ?? '') as { holder?: unknown, incarnation?: unknown }
    return { holder: String(holder), incarnation: String(incarnation) }
  } catch {
    // A record that cannot be read was written by another release; its holder is waited out like any other.
    return { holder: 'unknown', incarnation: 'unknown' }
  }
}
