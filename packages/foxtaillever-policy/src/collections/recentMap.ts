/**
 * A map with a bound; entries not used for long go first. What this instance
 * learns from traffic lives here, so no traffic can fill its memory.
 *
 * Two generations instead of an order of use: a full young one becomes the old
 * one, and the old one is dropped. Each call costs the same, while taking the
 * oldest key out of a large Map walks over all that were deleted before it.
 */
export class RecentMap<Value> {
  private young = new Map<string, Value>()
  private old = new Map<string, Value>()
  private readonly generation: number

  private constructor (bound: number) {
    this.generation = Math.max(1, Math.floor(bound / 2))
  }

  /** @param bound most entries; at least the half of it used last is kept. */
  static create<Value> (bound: number): RecentMap<Value> {
    return new RecentMap(bound)
  }

  get size (): number {
    return this.young.size + this.old.size
  }

  /** Reads an entry without counting it as used. */
  peek (key: string): Value | undefined {
    return this.young.get(key) ?? this.old.get(key)
  }

  /** Reads an entry and counts it as used. */
  use (key: string): Value | undefined {
    const known = this.young.get(key)
    if (known !== undefined) {
      return known
    }
    const value = this.old.get(key)
    if (value !== undefined) {
      this.set(key, value)
    }
    return value
  }

  set (key: string, value: Value): void {
    this.old.delete(key)
    this.young.set(key, value)
    if (this.young.size > this.generation) {
      this.old = this.young
      this.young = new Map()
    }
  }

  /** Those used last come last. */
  list (): Array<[string, Value]> {
    return [...this.old, ...this.young]
  }
}
