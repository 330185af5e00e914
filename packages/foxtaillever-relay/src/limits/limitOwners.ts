/** Who decides on a shared limit, computed from the members that this instance knows. */
import { hashNumber } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { LIMIT_RANKS } from './limitProtocol.js'

/**
 * An instance that has just started may not know the others yet, and would take
 * itself for the owner of every key. After this it decides by those it
 * knows, milliseconds: beats of all have come by then, also in a large fleet.
 */
const LEARNING_MS = 5000

/** One that nobody names is alone, milliseconds: the others greet it within a second. */
const ALONE_MS = 1500

export class LimitOwners {
  private readonly rankings = ComputedWatchers.create(LIMIT_RANKS)
  private changedAt: number
  private isLearned = false

  private constructor (private readonly startedAt: number) {
    this.changedAt = startedAt
  }

  /** @param startedAt start of this process, milliseconds of Unix time: so long nobody has decided here. */
  static create (startedAt: number): LimitOwners {
    return new LimitOwners(startedAt)
  }

  /**
   * @param addresses of those that may decide, in an order that all share.
   * @param isWhole whether they are all that anybody knows of.
   */
  setMembers (addresses: readonly string[], isWhole: boolean, now: number): void {
    if (this.rankings.setMembers(addresses) && this.isLearned) {
      this.changedAt = now
    }
    this.isLearned ||= isWhole || now >= this.startedAt + (addresses.length > 1 ? LEARNING_MS : ALONE_MS)
  }

  /** Addresses, the owner first. */
  of (key: string): readonly string[] {
    return this.rankings.of(hashNumber(key))
  }

  /** Since when the members are the same, milliseconds of Unix time; undefined while they are not known yet. */
  get settledAt (): number | undefined {
    return this.isLearned ? this.changedAt : undefined
  }
}
