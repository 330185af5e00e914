/**
 * Leases in the log. The platform's clock decides when one ends and the next
 * may begin; the holder goes by its own clock, from before its append, and so
 * always stops earlier.
 */
import { Maybe } from 'purify-ts'
import { z } from 'zod'

/**
 * How long a lease lasts after its append, milliseconds. Long against a log's
 * slow answer, short against the wait for orders after a holder's death.
 */
export const LEASE_TERM_MS = 10_000

/**
 * A holder stops this long before its lease ends, milliseconds: room for two
 * clocks that run at different rates and for a short pause between the clock's
 * check and the byte.
 */
export const LEASE_MARGIN_MS = 2000

/** Body of a lease record. */
export interface LeaseRecord {
  readonly name: string
  readonly instance: string
  /** Drawn anew at each start, so that a restarted holder does not inherit its lease. */
  readonly incarnation: string
}

export interface Lease extends LeaseRecord {
  /** Offset of the record that began this tenure; orders carry it, renewals keep it. */
  readonly fence: number
  /** The platform's clock, milliseconds of Unix time. */
  readonly endsAt: number
}

const leaseRecord = z.object({ name: z.string(), instance: z.string(), incarnation: z.string() })

export function readLeaseRecord (body: unknown): Maybe<LeaseRecord> {
  return Maybe.fromNullable(leaseRecord.safeParse(body).data)
}
