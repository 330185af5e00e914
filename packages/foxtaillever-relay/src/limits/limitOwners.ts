/** Computes which instances decide on a shared limit, from the members that this instance knows. */
import { hashNumber } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { LIMIT_RANKING_SIZE } from './limitProtocol.js'

/**
 * An instance that has just started may not know the others yet and would take
 * itself for the owner of every key. It ranks the members that it knows only after
 * this time, milliseconds: even in a large fleet all heartbeats have arrived by then.
 */
const DISCOVERY_MS = 5000

/** An instance that knows no other by then is alone, milliseconds: others contact it within a second. */
const SOLO_DISCOVERY_MS = 1500

export class LimitOwners {
  private readonly rankings = ComputedWatchers.create(LIMIT_RANKING_SIZE)
  private changedAt: number
  private areMembersKnown = false

  private constructor (private readonly startedAt: number) {
    this.changedAt = startedAt
  }

  /** @param startedAt start of this process, milliseconds of Unix time; before it this instance decided nothing. */
  static create (startedAt: number): LimitOwners {
    return new LimitOwners(startedAt)
  }

  /**
   * @param addresses addresses of the members that may decide, in an order that all instances share.
   * @param isComplete whether no instance knows of any other member.
   */
  setMembers (addresses: readonly string[], isComplete: boolean, now: number): void {
    if (this.rankings.setMembers(addresses) && this.areMembersKnown) {
      this.changedAt = now
    }
    this.areMembersKnown ||= isComplete || now >= this.startedAt + (addresses.length > 1 ? DISCOVERY_MS : SOLO_DISCOVERY_MS)
  }

  /** Addresses of the instances that decide on the key, the owner first. */
  of (key: string): readonly string[] {
    return this.rankings.of(hashNumber(key))
  }

  /** When the members last changed, milliseconds of Unix time; undefined until they are known. */
  get stableSince (): number | undefined {
    return this.areMembersKnown ? this.changedAt : undefined
  }
}
