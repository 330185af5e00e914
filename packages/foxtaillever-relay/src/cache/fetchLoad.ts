/**
 * Prompt tokens in transit from the stores of cached levels: those that this instance
 * asked engines to fetch, and those that other instances reported. All engines share
 * the single link of a store, so the sum determines how long the next fetch waits.
 * Saves are not counted: a level that is not saved is computed again for every request
 * that needs it.
 */
import { hashNumber } from 'foxtaillever-core'
import type { ServerLoadEntry } from '../peers/peerMessage.js'

export interface Transfer {
  /** Address of the store. */
  readonly store: string
  /** Tokens weighted by how long they occupy the link of the store; see `linkTokens`. */
  readonly tokens: number
  /** Counted until then, milliseconds of Unix time. */
  readonly until: number
}

export class FetchLoad {
  private readonly transfers = new Set<Transfer>()

  private constructor (private readonly othersTokens: (store: string) => number) {}

  /** @param othersTokens tokens in transit for other instances from the store at the address. */
  static create (othersTokens: (store: string) => number): FetchLoad {
    return new FetchLoad(othersTokens)
  }

  /** The load of this instance on each store, as reported to the other instances. */
  ownLoads (now: number): ServerLoadEntry[] {
    this.expire(now)
    const sums = new Map<string, number>()
    this.transfers.forEach(({ store, tokens }) => sums.set(store, (sums.get(store) ?? 0) + tokens))
    return [...sums].map(([store, tokens]) => ({ server: hashNumber(store), outstanding: 1, tokens, heldTokens: 0 }))
  }

  tokensInTransit (store: string, now: number): number {
    this.expire(now)
    let sum = this.othersTokens(store)
    this.transfers.forEach(transfer => { sum += transfer.store === store ? transfer.tokens : 0 })
    return sum
  }

  /** @param until when the transfer must be complete, milliseconds of Unix time. */
  beginTransfer (store: string, tokens: number, until: number): Transfer | undefined {
    if (tokens <= 0) {
      return undefined
    }
    const transfer = { store, tokens, until }
    this.transfers.add(transfer)
    return transfer
  }

  endTransfer (transfer: Transfer | undefined): void {
    if (transfer) {
      this.transfers.delete(transfer)
    }
  }

  private expire (now: number): void {
    for (const transfer of this.transfers) {
      if (transfer.until <= now) {
        this.transfers.delete(transfer)
      }
    }
  }
}
