/**
 * The facts that an instance holds, its own and those of others.
 */
import { factId, FactKind, type Fact } from './fact.js'

/** Facts kept at once; at some 200 bytes each this stays under a sixth of the 32 MB. */
const MOST_FACTS = 24_000

/** No fact outlives this, whatever deadline a source with a wrong clock names, milliseconds. */
const LONGEST_LIFE_MS = 600_000

export class FactTable {
  private readonly kinds = new Map<FactKind, Map<string, Fact>>()
  private count = 0
  private refused = 0

  private constructor () {}

  static create (): FactTable {
    return new FactTable()
  }

  /** Takes a fact unless it is expired or older than what is known; says whether it was news. */
  put (fact: Fact, now: number): boolean {
    if (fact.deadline <= now || fact.deadline > now + LONGEST_LIFE_MS) {
      return false
    }
    const facts = this.kindOf(fact.kind)
    const id = factId(fact)
    const known = facts.get(id)
    if (known !== undefined && known.version >= fact.version) {
      return false
    }
    if (known === undefined && this.count >= MOST_FACTS) {
      this.refused += 1
      return false
    }
    this.count += known === undefined ? 1 : 0
    facts.set(id, fact)
    return true
  }

  get (source: string, kind: FactKind, key: string): Fact | undefined {
    return this.kinds.get(kind)?.get(factId({ source, kind, key }))
  }

  of (kind: FactKind): readonly Fact[] {
    return [...this.kinds.get(kind)?.values() ?? []]
  }

  size (): number {
    return this.count
  }

  /** Facts not taken because the table was full. */
  refusedCount (): number {
    return this.refused
  }

  /** Drops what is past its deadline; run each tick. */
  expire (now: number): void {
    for (const facts of this.kinds.values()) {
      for (const [id, fact] of facts) {
        if (fact.deadline <= now) {
          facts.delete(id)
          this.count -= 1
        }
      }
    }
  }

  private kindOf (kind: FactKind): Map<string, Fact> {
    const facts = this.kinds.get(kind) ?? new Map<string, Fact>()
    this.kinds.set(kind, facts)
    return facts
  }
}
