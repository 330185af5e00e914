/**
 * Leases in the log. The platform's clock decides when a lease ends and the next
 * may begin. The holder measures its term on its own clock from a time before
 * its append, so it always stops earlier.
 */
import { Maybe } from 'purify-ts'
import { z } from 'zod'

/**
 * How long a lease lasts after its append, milliseconds. Much longer than a slow
 * answer of the log, and short enough that orders do not wait long after a
 * holder has died.
 */
export const LEASE_TERM_MS = 10_000

/**
 * A holder stops this long before its lease ends, milliseconds: allows for two
 * clocks that run at different rates and for a short pause between the check of
 * the clock and the first byte of an order.
 */
export const LEASE_MARGIN_MS = 2000

/** Body of a lease record. */
export interface LeaseRecord {
  readonly name: string
  readonly instance: string
  /** New at each start, so that a restarted holder does not inherit its lease. */
  readonly incarnation: string
}

export interface Lease extends LeaseRecord {
  /** The fencing number: offset of the record that began this tenure. Orders carry it, renewals keep it. */
  readonly fence: number
  /** Milliseconds of Unix time on the platform's clock. */
  readonly endsAt: number
}

const leaseRecord = z.object({ name: z.string(), instance: z.string(), incarnation: z.string() })

export function readLeaseRecord (body: unknown): Maybe<LeaseRecord> {
  return Maybe.fromNullable(leaseRecord.safeParse(body).data)
}
