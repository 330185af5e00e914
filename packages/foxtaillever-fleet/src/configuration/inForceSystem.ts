/**
 * Finds out which instances have a revision in force, for an operator who
 * waits for it. Members state their revision in every message. The instance that
 * got the operator's call probes some of the members without the revision each tick.
 */
import type { Clock } from 'foxtaillever-core'
import type { Membership } from '../membership/membership.js'
import type { ProbeSystem } from '../membership/probeSystem.js'
import type { Member } from '../membership/member.js'
import type { ConfigurationStore } from './configurationStore.js'

/** Members probed per tick for one wait; this probes 380 members within three seconds at 13 KB/s. */
const PROBES_PER_TICK = 64

/** Reply to an operator who waits for a revision. */
export interface InForce {
  readonly revision: number
  /** Number of live members, this instance included. */
  readonly live: number
  readonly inForce: number
  /** Names of live members that are not known to have the revision. */
  readonly missing: readonly string[]
}

interface Wait {
  readonly revision: number
  readonly finish: (inForce: InForce) => void
}

export class InForceSystem {
  private readonly waits = new Set<Wait>()

  private constructor (
    private readonly store: ConfigurationStore,
    private readonly membership: Membership,
    private readonly probes: ProbeSystem,
    private readonly clock: Clock
  ) {}

  static create (store: ConfigurationStore, membership: Membership, probes: ProbeSystem, clock: Clock): InForceSystem {
    return new InForceSystem(store, membership, probes, clock)
  }

  /** Resolves when all live members have the revision, at the latest at the deadline. */
  async waitForRevision (revision: number, deadline: number): Promise<InForce> {
    return await new Promise<InForce>(resolve => {
      const wait: Wait = {
        revision,
        finish: inForce => {
          // A timer left running would keep the process from ending until the deadline.
          cancel()
          resolve(inForce)
        }
      }
      const cancel = this.clock.at(deadline, () => this.finish(wait))
      this.waits.add(wait)
      this.finishOrProbe(wait)
    })
  }

  /** Called after each message: finishes the waits whose revision all live members have. */
  finishCompleteWaits (): void {
    for (const wait of this.waits) {
      if (this.membersWithout(wait.revision).length === 0) {
        this.finish(wait)
      }
    }
  }

  /** Run each tick. */
  tick (): void {
    this.waits.forEach(wait => this.finishOrProbe(wait))
  }

  private finishOrProbe (wait: Wait): void {
    const missing = this.membersWithout(wait.revision)
    if (missing.length === 0) {
      this.finish(wait)
      return
    }
    this.membership.pickRandom(missing, PROBES_PER_TICK).forEach(member => this.probe(member))
  }

  private finish (wait: Wait): void {
    if (!this.waits.delete(wait)) {
      return
    }
    const live = this.membership.table.alive().length
    const names = this.membersWithout(wait.revision).map(member => member.name)
    wait.finish({ revision: wait.revision, live, inForce: live - names.length, missing: names })
  }

  private probe (member: Member): void {
    if (member.name !== this.membership.name()) {
      this.probes.probe(member)
    }
  }

  private membersWithout (revision: number): readonly Member[] {
    return this.membership.table.alive().filter(member => this.revisionOf(member) < revision)
  }

  private revisionOf ({ name, incarnation }: Member): number {
    if (name === this.membership.name()) {
      return this.store.configuration().revision
    }
    const contact = this.membership.contacts.get(name)
    return contact?.incarnation === incarnation ? contact.position.revision : 0
  }
}
