/** The order in which instances request the lease on orders. */
import { hashNumber } from 'foxtaillever-core'

/** Rank of an instance that cannot take the lease because it does not reach the store or is leaving. */
export const LAST_RANK = 8

/**
 * The last holder comes first, then the others in an order that all instances compute alike.
 * @param own this instance as a holder of the lease.
 * @param others the other instances that could take the lease, as holders.
 */
export function orderRank (own: string, others: readonly string[], lastHolder: string | undefined): number {
  const order = [...others, own].sort((a, b) => Number(b === lastHolder) - Number(a === lastHolder) || hashNumber(a) - hashNumber(b))
  return order.indexOf(own)
}
