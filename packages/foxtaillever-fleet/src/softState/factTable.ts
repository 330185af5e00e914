/**
 * The facts that an instance holds, its own and those of others.
 */
import { factId, FactKind, type Fact } from './fact.js'

/** Maximum number of facts; at some 200 bytes each they take less than a sixth of the memory budget of 32 MB. */
const MAX_FACTS = 24_000

/** Maximum time to a fact's deadline, milliseconds; guards against sources with a wrong clock. */
const MAX_LIFETIME_MS = 600_000

export class FactTable {
  private readonly kinds = new Map<FactKind, Map<string, Fact>>()
  private count = 0
  private refused = 0

  private constructor () {}

  static create (): FactTable {
    return new FactTable()
  }

  /** Stores a fact unless it has expired, its deadline is too late, its version is known or the table is full; returns whether it was stored. */
  applyFact (fact: Fact, now: number): boolean {
    if (fact.deadline <= now || fact.deadline > now + MAX_LIFETIME_MS) {
      return false
    }
    const facts = this.factsOfKind(fact.kind)
    const id = factId(fact)
    const known = facts.get(id)
    if (known !== undefined && known.version >= fact.version) {
      return false
    }
    if (known === undefined && this.count >= MAX_FACTS) {
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

  /** Number of facts refused because the table was full. */
  refusedCount (): number {
    return this.refused
  }

  /** Removes facts past their deadline; run each tick. */
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

  private factsOfKind (kind: FactKind): Map<string, Fact> {
    const facts = this.kinds.get(kind) ?? new Map<string, Fact>()
    this.kinds.set(kind, facts)
    return facts
  }
}
