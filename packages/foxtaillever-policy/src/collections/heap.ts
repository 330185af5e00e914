/** Binary heap; the entry that is before all others by `isBefore` is removed first. */
export class Heap<Entry> {
  private entries: Entry[] = []

  private constructor (private readonly isBefore: (a: Entry, b: Entry) => boolean) {}

  static create<Entry> (isBefore: (a: Entry, b: Entry) => boolean): Heap<Entry> {
    return new Heap(isBefore)
  }

  get size (): number {
    return this.entries.length
  }

  peek (): Entry | undefined {
    return this.entries[0]
  }

  push (entry: Entry): void {
    let index = this.entries.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isBefore(entry, this.entries[parent] as Entry)) {
        break
      }
      this.entries[index] = this.entries[parent] as Entry
      index = parent
    }
    this.entries[index] = entry
  }

  pop (): Entry | undefined {
    const first = this.entries[0]
    const last = this.entries.pop()
    if (this.entries.length > 0) {
      this.siftDown(last as Entry)
    }
    return first
  }

  /** Keeps only the entries that match the predicate. */
  filter (predicate: (entry: Entry) => boolean): void {
    const kept = this.entries.filter(predicate)
    this.entries = []
    kept.forEach(entry => this.push(entry))
  }

  private siftDown (entry: Entry): void {
    const { length } = this.entries
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= length) {
        break
      }
      if (child + 1 < length && this.isBefore(this.entries[child + 1] as Entry, this.entries[child] as Entry)) {
        child += 1
      }
      if (!this.isBefore(this.entries[child] as Entry, entry)) {
        break
      }
      this.entries[index] = this.entries[child] as Entry
      index = child
    }
    this.entries[index] = entry
  }
}
