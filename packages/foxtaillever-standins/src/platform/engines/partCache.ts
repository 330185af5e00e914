/**
 * Cached parts of prompts in a stand-in engine: under a name that the caller
 * sets and a model, usable only if all parts before are cached too, the least
 * recently used yielding first. Changes are numbered, so that they can be told.
 */

/** Changes kept for those who ask late. */
const CHANGES_KEPT = 1000

export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Number, + or -, name, part, tokens, model. */
export type CacheChange = readonly [number, '+' | '-', string, string, number, string]

interface CachedPart extends PromptPart {
  readonly salt: string
  readonly model: string
}

export class PartCache {
  /** Oldest use first. */
  private readonly parts = new Map<string, CachedPart>()
  private readonly changes: CacheChange[] = []
  private number = 0
  tokens = 0

  private constructor () {}

  static create (): PartCache {
    return new PartCache()
  }

  /** Tokens of the prompt that need not be read; their parts count as used. */
  match (salt: string, model: string, parts: readonly PromptPart[]): number {
    let matched = 0
    for (const { id } of parts) {
      const key = `${salt}/${model}/${id}`
      const part = this.parts.get(key)
      if (!part) {
        break
      }
      this.parts.delete(key)
      this.parts.set(key, part)
      matched += part.tokens
    }
    return matched
  }

  add (salt: string, model: string, parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const key = `${salt}/${model}/${id}`
      if (!this.parts.has(key)) {
        this.parts.set(key, { id, tokens, salt, model })
        this.tokens += tokens
        this.tell('+', salt, id, tokens, model)
      }
    }
  }

  /** Oldest parts yield until no more than this is cached, tokens. */
  shrink (most: number): void {
    for (const [key, { salt, id, tokens, model }] of this.parts) {
      if (this.tokens <= most) {
        return
      }
      this.parts.delete(key)
      this.tokens -= tokens
      this.tell('-', salt, id, tokens, model)
    }
  }

  dropModel (model: string): void {
    for (const [key, part] of this.parts) {
      if (part.model === model) {
        this.parts.delete(key)
        this.tokens -= part.tokens
        this.tell('-', part.salt, part.id, part.tokens, model)
      }
    }
  }

  since (number: number): { readonly next: number, readonly lost: boolean, readonly events: readonly CacheChange[] } {
    const events = this.changes.filter(change => change[0] > number)
    const oldest = this.changes[0]?.[0] ?? this.number + 1
    return { next: this.number, lost: number + 1 < oldest && number < this.number, events }
  }

  list (): ReadonlyArray<readonly [string, string, number, string]> {
    return [...this.parts.values()].map(({ salt, id, tokens, model }) => [salt, id, tokens, model])
  }

  private tell (sign: '+' | '-', salt: string, id: string, tokens: number, model: string): void {
    this.changes.push([++this.number, sign, salt, id, tokens, model])
    this.changes.splice(0, this.changes.length - CHANGES_KEPT)
  }
}
