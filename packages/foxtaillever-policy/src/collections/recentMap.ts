/**
 * A map with a bound; the entry not used for longest goes first. What this
 * instance learns from traffic lives here, so no traffic can fill its memory.
 */
export class RecentMap<Value> {
  private readonly entries = new Map<string, Value>()

  private constructor (private readonly bound: number) {}

  static create<Value> (bound: number): RecentMap<Value> {
    return new RecentMap(bound)
  }

  get size (): number {
    return this.entries.size
  }

  /** Reads an entry without counting it as used. */
  peek (key: string): Value | undefined {
    return this.entries.get(key)
  }

  /** Reads an entry and counts it as used. */
  use (key: string): Value | undefined {
    const value = this.entries.get(key)
    if (value !== undefined) {
      this.entries.delete(key)
      this.entries.set(key, value)
    }
    return value
  }

  set (key: string, value: Value): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size > this.bound) {
      const [oldest] = this.entries.keys()
      this.entries.delete(oldest as string)
    }
  }

  delete (key: string): void {
    this.entries.delete(key)
  }

  /** Oldest first. */
  list (): IterableIterator<[string, Value]> {
    return this.entries.entries()
  }
}
