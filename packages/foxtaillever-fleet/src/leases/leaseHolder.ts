/**
 * One instance's side of one lease: requests the lease when it seems free,
 * renews it in time, and checks right before each order whether it is still held.
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
  /** Whether this instance should request the lease; limits requests to a computed few instances. */
  readonly isCandidate: () => boolean
  /** How long before the lease's end the holder stops, milliseconds; differs from the default only in tests. */
  readonly marginMs?: number
}

/** The lease is renewed after this much of its term, milliseconds; leaves time for two more attempts. */
const RENEW_AFTER_MS = 3000

/** Requests of several instances are spread over this time, milliseconds. */
const JITTER_MS = 500

export class LeaseHolder {
  /** Ids of this instance's appends that may have taken effect, each with the time before the append. */
  private readonly pendingAppends = new Map<string, number>()
  private recordCount = 0
  private isAppending = false
  private nextAppendAt = 0
  /** Milliseconds of Unix time on this instance's clock. */
  private validUntil = 0
  private fence = 0

  private constructor (private readonly options: LeaseHolderOptions) {}

  static create (options: LeaseHolderOptions): LeaseHolder {
    return new LeaseHolder(options)
  }

  /** Called right before the first byte of an order is sent; returns the fencing number to send with it. */
  checkLease (): Either<Failure, number> {
    if (this.options.clock.now() >= this.validUntil) {
      return Left(Failure.notRun(FailureCode.Stale, 'The lease is not held any more; the order was not sent.'))
    }
    return Right(this.fence)
  }

  isHeld (): boolean {
    return this.checkLease().isRight()
  }

  /** Handles each record from the log reader; also updates the fold. */
  applyRecord (record: LogRecord): void {
    const lease = this.options.fold.applyRecord(record)
    const requestedAt = this.pendingAppends.get(record.id)
    this.pendingAppends.delete(record.id)
    if (lease?.name !== this.options.name) {
      return
    }
    if (lease.incarnation !== this.options.incarnation) {
      this.waitForExpiry()
      return
    }
    if (requestedAt !== undefined) {
      this.extendTerm(lease.fence, requestedAt)
    }
  }

  private extendTerm (fence: number, requestedAt: number): void {
    this.fence = fence
    this.validUntil = requestedAt + LEASE_TERM_MS - (this.options.marginMs ?? LEASE_MARGIN_MS)
    this.nextAppendAt = requestedAt + RENEW_AFTER_MS
  }

  /** The record was read after it was appended, so the next append is never too early. */
  private waitForExpiry (): void {
    const { clock, random } = this.options
    this.validUntil = 0
    this.nextAppendAt = clock.now() + LEASE_TERM_MS + random.below(JITTER_MS)
  }

  /** Run at each tick of the loop. */
  tick (now: number): void {
    if (this.isAppending || now < this.nextAppendAt || !this.options.isCandidate()) {
      return
    }
    this.appendRecord(now)
  }

  private async appendRecord (now: number): Promise<void> {
    const { log, name, instance, incarnation, random, clock } = this.options
    const id = `${incarnation}/lease/${name}/${this.recordCount++}`
    const body: LeaseRecord = { name, instance, incarnation }
    this.pendingAppends.set(id, now)
    this.isAppending = true
    const result = await log.append({ id, kind: RecordKind.Lease, writtenAt: now, body })
    this.isAppending = false
    this.nextAppendAt = Math.max(this.nextAppendAt, clock.now() + JITTER_MS + random.below(JITTER_MS))
    result.ifLeft(failure => {
      if (failure.verdict === Verdict.NotRun) {
        this.pendingAppends.delete(id)
      }
    })
  }
}
