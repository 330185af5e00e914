/**
 * One instance's side of one lease: asks for it when it seems free, renews it
 * in time, and tells right before each order whether it is still held.
 */
import { Failure, FailureCode, RecordKind, Verdict, type Clock, type Log, type LogRecord, type Random } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { LEASE_MARGIN_MS, LEASE_TERM_MS, type LeaseRecord } from './lease.js'
import type { LeaseFold } from './leaseFold.js'

export interface LeaseHolderOptions extends LeaseRecord {
  readonly log: Log
  readonly fold: LeaseFold
  readonly clock: Clock
  readonly random: Random
  /** Whether this instance should try; lets a computed few do so. */
  readonly isCandidate: () => boolean
  /** Time kept free before the lease's end; other than the default in tests alone. */
  readonly marginMs?: number
}

/** Renewed when this much of the term is over, milliseconds; leaves room for two more tries. */
const RENEW_AFTER_MS = 3000

/** Tries of several instances are spread over this, milliseconds. */
const SPREAD_MS = 500

export class LeaseHolder {
  /** Own appends that may have taken effect, with the clock's time before each. */
  private readonly asked = new Map<string, number>()
  private records = 0
  private isAsking = false
  private askAt = 0
  /** Milliseconds of Unix time on this instance's clock. */
  private stopAt = 0
  private fence = 0

  private constructor (private readonly options: LeaseHolderOptions) {}

  static create (options: LeaseHolderOptions): LeaseHolder {
    return new LeaseHolder(options)
  }

  /** Called right before the byte of an order leaves; gives the fencing number to send with it. */
  check (): Either<Failure, number> {
    if (this.options.clock.now() >= this.stopAt) {
      return Left(Failure.notRun(FailureCode.Stale, 'The lease is not held any more; the order was not sent.'))
    }
    return Right(this.fence)
  }

  isHeld (): boolean {
    return this.check().isRight()
  }

  /** Given to the log reader, after the fold is up to the record. */
  read (record: LogRecord): void {
    const lease = this.options.fold.read(record)
    const askedAt = this.asked.get(record.id)
    this.asked.delete(record.id)
    if (lease?.name !== this.options.name) {
      return
    }
    if (lease.incarnation !== this.options.incarnation) {
      this.waitOut()
      return
    }
    if (askedAt !== undefined) {
      this.hold(lease.fence, askedAt)
    }
  }

  private hold (fence: number, askedAt: number): void {
    this.fence = fence
    this.stopAt = askedAt + LEASE_TERM_MS - (this.options.marginMs ?? LEASE_MARGIN_MS)
    this.askAt = askedAt + RENEW_AFTER_MS
  }

  /** The record was read after it was appended, so this instant is late, never early. */
  private waitOut (): void {
    const { clock, random } = this.options
    this.stopAt = 0
    this.askAt = clock.now() + LEASE_TERM_MS + random.below(SPREAD_MS)
  }

  /** Run at each tick of the loop. */
  tick (now: number): void {
    if (this.isAsking || now < this.askAt || !this.options.isCandidate()) {
      return
    }
    this.ask(now)
  }

  private async ask (now: number): Promise<void> {
    const { log, name, instance, incarnation, random, clock } = this.options
    const id = `${incarnation}/lease/${name}/${this.records++}`
    const body: LeaseRecord = { name, instance, incarnation }
    this.asked.set(id, now)
    this.isAsking = true
    const result = await log.append({ id, kind: RecordKind.Lease, writtenAt: now, body })
    this.isAsking = false
    this.askAt = Math.max(this.askAt, clock.now() + SPREAD_MS + random.below(SPREAD_MS))
    result.ifLeft(failure => {
      if (failure.verdict === Verdict.NotRun) {
        this.asked.delete(id)
      }
    })
  }
}
