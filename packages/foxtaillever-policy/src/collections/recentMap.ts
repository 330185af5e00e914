/**
 * A bounded map that drops the least recently used entries. It stores what an
 * instance learns from traffic, so that no traffic can fill the memory.
 *
 * It has two generations instead of an order of use: when the young generation
 * is full it becomes the old one, and the old one is dropped. So each call costs
 * the same, while finding the oldest key of a large Map walks over all keys
 * deleted before it.
 */
export class RecentMap<Value> {
  private young = new Map<string, Value>()
  private old = new Map<string, Value>()
  private readonly generationSize: number

  private constructor (maxSize: number) {
    this.generationSize = Math.max(1, Math.floor(maxSize / 2))
  }

  /** @param maxSize maximum number of entries; at least the half of it used last is kept. */
  static create<Value> (maxSize: number): RecentMap<Value> {
    return new RecentMap(maxSize)
  }

  get size (): number {
    return this.young.size + this.old.size
  }

  /** Reads an entry without counting it as used. */
  peek (key: string): Value | undefined {
    return this.young.get(key) ?? this.old.get(key)
  }

  /** Reads an entry and counts it as used. */
  get (key: string): Value | undefined {
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
    if (this.young.size > this.generationSize) {
      this.old = this.young
      this.young = new Map()
    }
  }

  /** All entries; those used last come last. */
  list (): Array<[string, Value]> {
    return [...this.old, ...this.young]
  }
}
