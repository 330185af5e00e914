/**
 * Prompt tokens on their way from the stores of cached levels: those that this
 * instance asked engines to fetch, and those that the others told. All engines
 * share a store's one link, so the sum says how long the next fetch waits. Saves
 * are not counted: a level that is not saved is read again by all who ask for it.
 */
import { hashNumber } from 'foxtaillever-core'
import type { ServerUse } from '../peers/peerMessage.js'

export interface Transfer {
  /** Address of the store. */
  readonly store: string
  /** As the link of the store feels them. */
  readonly tokens: number
  /** Counted until then, milliseconds of Unix time. */
  readonly until: number
}

export class FetchLoad {
  private readonly transfers = new Set<Transfer>()

  private constructor (private readonly othersTokens: (store: string) => number) {}

  /** @param othersTokens tokens that the other instances have on their way from the store at the address. */
  static create (othersTokens: (store: string) => number): FetchLoad {
    return new FetchLoad(othersTokens)
  }

  /** What this instance tells the others. */
  own (now: number): ServerUse[] {
    this.expire(now)
    const sums = new Map<string, number>()
    this.transfers.forEach(({ store, tokens }) => sums.set(store, (sums.get(store) ?? 0) + tokens))
    return [...sums].map(([store, tokens]) => ({ server: hashNumber(store), outstanding: 1, tokens, heldTokens: 0 }))
  }

  tokensAt (store: string, now: number): number {
    this.expire(now)
    let sum = this.othersTokens(store)
    this.transfers.forEach(transfer => { sum += transfer.store === store ? transfer.tokens : 0 })
    return sum
  }

  /** @param until when it must be through, milliseconds of Unix time. */
  begin (store: string, tokens: number, until: number): Transfer | undefined {
    if (tokens <= 0) {
      return undefined
    }
    const transfer = { store, tokens, until }
    this.transfers.add(transfer)
    return transfer
  }

  end (transfer: Transfer | undefined): void {
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
