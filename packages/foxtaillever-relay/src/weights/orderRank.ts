/** In which order instances take the lease on orders. */
import { hashNumber } from 'foxtaillever-core'

/** Place of an instance that cannot take the lease, since the store does not answer it or it leaves. */
export const LAST_RANK = 8

/**
 * The last holder acts first, then the others in an order that all compute alike.
 * @param others names of the others that could take it.
 */
export function orderRank (name: string, others: readonly string[], lastHolder: string | undefined): number {
  const order = [...others, name].sort((one, other) => Number(other === lastHolder) - Number(one === lastHolder) || hashNumber(one) - hashNumber(other))
  return order.indexOf(name)
}
