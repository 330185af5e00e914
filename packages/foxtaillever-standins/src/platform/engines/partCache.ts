/**
 * Cached prompt parts of a stand-in engine, by the cache salt of the request and
 * the model. A part is usable only if all parts before it are cached too, and the
 * least recently used parts are evicted first. Changes are numbered, so that
 * callers can ask for those since a number.
 */

/** Changes kept for callers that have not read them yet. */
const CHANGES_KEPT = 1000

export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Number, + (added) or - (removed), salt, part, tokens, model. */
export type CacheChange = readonly [number, '+' | '-', string, string, number, string]

/** Account and weights of the request that created a part; only oracles read them. */
export interface PartOrigin {
  readonly account: string
  readonly weightsVersion: number
}

export interface CachedPart extends PromptPart {
  readonly salt: string
  readonly model: string
  readonly origin: PartOrigin
}

export class PartCache {
  /** Least recently used first. */
  private readonly parts = new Map<string, CachedPart>()
  private readonly changes: CacheChange[] = []
  private lastChange = 0
  tokens = 0

  private constructor (private readonly maxTokens: number) {}

  /** @param maxTokens capacity; an engine shrinks the cache below it when its runs need memory. */
  static create (maxTokens = Infinity): PartCache {
    return new PartCache(maxTokens)
  }

  /** Returns the leading parts of the prompt that are cached, and marks them as used. */
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

  /** Adds parts that were prefilled or fetched. A part that is cached already keeps its first origin. */
  add (added: readonly CachedPart[]): void {
    for (const part of added) {
      const { salt, model, id, tokens } = part
      const key = `${salt}/${model}/${id}`
      if (!this.parts.has(key)) {
        this.parts.set(key, part)
        this.tokens += tokens
        this.recordChange('+', salt, id, tokens, model)
      }
    }
    this.shrink(this.maxTokens)
  }

  /** Evicts the least recently used parts until at most this many tokens are cached. */
  shrink (maxTokens: number): void {
    for (const [key, { salt, id, tokens, model }] of this.parts) {
      if (this.tokens <= maxTokens) {
        return
      }
      this.parts.delete(key)
      this.tokens -= tokens
      this.recordChange('-', salt, id, tokens, model)
    }
  }

  dropModel (model: string): void {
    for (const [key, part] of this.parts) {
      if (part.model === model) {
        this.parts.delete(key)
        this.tokens -= part.tokens
        this.recordChange('-', part.salt, part.id, part.tokens, model)
      }
    }
  }

  changesSince (lastSeen: number): { readonly next: number, readonly lost: boolean, readonly events: readonly CacheChange[] } {
    const events = this.changes.filter(change => change[0] > lastSeen)
    const oldest = this.changes[0]?.[0] ?? this.lastChange + 1
    return { next: this.lastChange, lost: lastSeen + 1 < oldest && lastSeen < this.lastChange, events }
  }

  list (): ReadonlyArray<readonly [string, string, number, string]> {
    return [...this.parts.values()].map(({ salt, id, tokens, model }) => [salt, id, tokens, model])
  }

  private recordChange (sign: '+' | '-', salt: string, id: string, tokens: number, model: string): void {
    this.changes.push([++this.lastChange, sign, salt, id, tokens, model])
    this.changes.splice(0, this.changes.length - CHANGES_KEPT)
  }
}
