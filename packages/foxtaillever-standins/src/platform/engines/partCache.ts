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

/** Whose request made a part, and under which weights; neither is told to anyone but oracles. */
export interface PartMaker {
  readonly account: string
  readonly weightsVersion: number
}

export interface CachedPart extends PromptPart {
  readonly salt: string
  readonly model: string
  readonly maker: PartMaker
}

export class PartCache {
  /** Oldest use first. */
  private readonly parts = new Map<string, CachedPart>()
  private readonly changes: CacheChange[] = []
  private number = 0
  tokens = 0

  private constructor (private readonly mostTokens: number) {}

  /** @param mostTokens what it has room for by itself; an engine shrinks it as its runs need memory. */
  static create (mostTokens = Infinity): PartCache {
    return new PartCache(mostTokens)
  }

  /** Parts of the prompt that need not be read, from its beginning; they count as used. */
  match (salt: string, model: string, parts: readonly PromptPart[]): CachedPart[] {
    const matched: CachedPart[] = []
    for (const { id } of parts) {
      const key = `${salt}/${model}/${id}`
      const part = this.parts.get(key)
      if (!part) {
        break
      }
      this.parts.delete(key)
      this.parts.set(key, part)
      matched.push(part)
    }
    return matched
  }

  /** Parts that were read or fetched; one that is here already stays as it was first made. */
  add (added: readonly CachedPart[]): void {
    for (const part of added) {
      const { salt, model, id, tokens } = part
      const key = `${salt}/${model}/${id}`
      if (!this.parts.has(key)) {
        this.parts.set(key, part)
        this.tokens += tokens
        this.tell('+', salt, id, tokens, model)
      }
    }
    this.shrink(this.mostTokens)
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
