/**
 * Prefix cache of a stand-in engine: blocks chained by hash, isolated by account,
 * model and weights, limited in number, evicted least recently used first and at
 * the latest a fixed time after their last use.
 */
import { CHARACTERS_PER_TOKEN } from 'foxtaillever-core'
import { hashText } from 'foxtaillever-core/hashPrompt'

export const BLOCK_TOKENS = 16
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN

export class BlockCache {
  /** Expiry time by block hash; least recently used first. */
  private readonly blocks = new Map<string, number>()

  private constructor (private readonly capacityBlocks: number, private readonly keptMs: number) {}

  static create (capacityTokens: number, keptMs: number): BlockCache {
    return new BlockCache(Math.floor(capacityTokens / BLOCK_TOKENS), keptMs)
  }

  /** Chained hashes of the prompt's complete blocks. */
  static chain (salt: string, text: string): string[] {
    const hashes: string[] = []
    let previous = salt
    for (let end = BLOCK_CHARACTERS; end <= text.length; end += BLOCK_CHARACTERS) {
      previous = hashText(previous + text.slice(end - BLOCK_CHARACTERS, end))
      hashes.push(previous)
    }
    return hashes
  }

  /** Length of the cached prefix, tokens; marks its blocks as used. */
  match (chain: readonly string[], now: number): number {
    let matched = 0
    for (const hash of chain) {
      const until = this.blocks.get(hash)
      if (until === undefined || until <= now) {
        break
      }
      matched += 1
    }
    this.insert(chain.slice(0, matched), now)
    return matched * BLOCK_TOKENS
  }

  /** Adds or renews blocks; returns the hashes that were not cached before. */
  insert (chain: readonly string[], now: number): string[] {
    const added: string[] = []
    for (const hash of chain) {
      if (!this.blocks.delete(hash)) {
        added.push(hash)
      }
      this.blocks.set(hash, now + this.keptMs)
    }
    return added
  }

  /** Drops expired blocks and those over capacity; returns their hashes. */
  evict (now: number): string[] {
    const dropped: string[] = []
    for (const [hash, until] of this.blocks) {
      if (until > now && this.blocks.size <= this.capacityBlocks) {
        break
      }
      this.blocks.delete(hash)
      dropped.push(hash)
    }
    return dropped
  }

  tokens (): number {
    return this.blocks.size * BLOCK_TOKENS
  }

  clear (): void {
    this.blocks.clear()
  }
}
