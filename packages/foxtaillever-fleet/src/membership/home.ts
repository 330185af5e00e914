/**
 * Rendezvous hashing. The home of a key is the member with the highest score, so
 * every instance with the same members computes the same home, nothing is
 * stored, and a member that leaves moves only the keys that it was home of.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js'
import { hashNumber } from 'foxtaillever-core'

export interface Named {
  readonly name: string
}

/** Multiplier of Knuth's multiplicative hash; keeps the two hashes independent. */
const KNUTH_MULTIPLIER = 2_654_435_761

function scoreOf (keyHash: number, name: string): number {
  return hashNumber(name, Math.imul(keyHash, KNUTH_MULTIPLIER) >>> 0)
}

/** The home of the key; none only without members. */
export function homeOf<Member extends Named> (key: string, members: readonly Member[]): Option<Member> {
  const keyHash = hashNumber(key)
  let best: Member | undefined
  let bestScore = -1
  for (const member of members) {
    const score = scoreOf(keyHash, member.name)
    if (score > bestScore || (score === bestScore && best !== undefined && member.name < best.name)) {
      best = member
      bestScore = score
    }
  }
  return best === undefined ? none : some(best)
}

/** The members with the highest rendezvous scores, the home first. */
export function homesOf<Member extends Named> (key: string, members: readonly Member[], count: number): readonly Member[] {
  const keyHash = hashNumber(key)
  return members
    .map(member => ({ member, score: scoreOf(keyHash, member.name) }))
    .sort((a, b) => b.score - a.score || (a.member.name < b.member.name ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member)
}
