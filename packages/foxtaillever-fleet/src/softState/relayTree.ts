/**
 * The computed tree along which the facts of one source travel. Every instance
 * with the same members computes the same tree, so each fact reaches each
 * instance once; gossip would send it to each some eighteen times. With eight
 * children, the tree of a fleet of nine has one level: every source sends
 * directly to all others.
 */
import { hashNumber } from 'foxtaillever-core'
import type { MemberTable } from '../membership/memberTable.js'

/** Number of children of each member in the tree. */
export const TREE_FAN_OUT = 8

/** Names of the members to which a member forwards the source's facts. */
export function childrenOf (source: string, name: string, names: readonly string[]): readonly string[] {
  const seed = hashNumber(source)
  const ranking = names
    .filter(candidate => candidate !== source)
    .map(candidate => ({ candidate, score: hashNumber(candidate, seed) }))
    .sort((a, b) => a.score - b.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
  // The source is at position 0, the others start at 1.
  const position = name === source ? 0 : ranking.indexOf(name) + 1
  if (name !== source && position === 0) {
    return []
  }
  const first = position * TREE_FAN_OUT
  return ranking.slice(first, first + TREE_FAN_OUT)
}

/** Caches computed children until the members change. */
export class RelayTrees {
  private readonly children = new Map<string, readonly string[]>()
  private version = -1

  private constructor (private readonly name: string, private readonly table: MemberTable) {}

  static create (name: string, table: MemberTable): RelayTrees {
    return new RelayTrees(name, table)
  }

  childrenFor (source: string): readonly string[] {
    if (this.version !== this.table.version()) {
      this.children.clear()
      this.version = this.table.version()
    }
    const known = this.children.get(source)
    if (known !== undefined) {
      return known
    }
    const names = this.table.alive().map(member => member.name)
    const computed = childrenOf(source, this.name, names)
    this.children.set(source, computed)
    return computed
  }
}
