/**
 * Finds members that this instance does not know, or believes to be gone: the
 * addresses of its settings, the platform's list of instances and members
 * called dead. By this a new instance joins, and halves of the fleet that
 * called each other dead find each other again when the network heals.
 */
import { ListedKind, ListedState, type Clock, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import type { Membership } from './membership.js'
import { MessageKind } from './message.js'
import { MemberState } from './member.js'

/** How often the platform's list is read at least, milliseconds; it lags by seconds itself. */
const LIST_MS = 5000

/** Added for each entry of the list, milliseconds, so that reading it stays at some 2 KB/s at any size. */
const LIST_PER_ENTRY_MS = 75

/** The same for an instance that knows no other. */
const LIST_ALONE_MS = 1000

/** How often unknown addresses are tried, milliseconds. */
const TRY_MS = 2000

/** Addresses that an instance tries at once which knows no other. */
const TRIES = 3

/**
 * Tries of one dead member by the whole fleet each tick. Were each member to try
 * by itself, a dead address that another process takes over would be flooded.
 */
const TRIES_PER_DEAD = 0.5

/** The address for datagrams of an instance that the platform lists. */
export type ListedAddress = (instance: ListedInstance) => string

export class SeedSystem {
  private listed: readonly string[] = []
  private listLength = 0
  /** Milliseconds of Unix time. */
  private listAt = 0
  private tryAt = 0

  private constructor (
    private readonly membership: Membership,
    private readonly seeds: readonly string[],
    private readonly instances: InstanceList,
    private readonly addressOf: ListedAddress,
    private readonly clock: Clock
  ) {}

  static create (membership: Membership, seeds: readonly string[], instances: InstanceList, addressOf: ListedAddress, clock: Clock): SeedSystem {
    return new SeedSystem(membership, seeds, instances, addressOf, clock)
  }

  /** Run each tick. */
  tick (): void {
    const now = this.clock.now()
    if (now >= this.listAt) {
      this.listAt = now + this.listPeriod()
      this.readList().catch(() => {})
    }
    if (now >= this.tryAt) {
      this.tryUnknown()
    }
    this.tryDead()
  }

  private listPeriod (): number {
    return this.isAlone() ? LIST_ALONE_MS : Math.max(LIST_MS, this.listLength * LIST_PER_ENTRY_MS)
  }

  private isAlone (): boolean {
    return this.membership.others().length === 0
  }

  /** Alone, it tries at once; otherwise all members together try each address about once in the period. */
  private tryUnknown (): void {
    this.tryAt = this.clock.now() + TRY_MS
    const unknown = this.unknownAddresses()
    const share = unknown.length / this.membership.table.alive().length
    if (this.isAlone()) {
      this.probeAddresses(this.membership.pick(unknown, TRIES))
    } else if (this.membership.random.next() < share) {
      this.probeAddresses(this.membership.pick(unknown, 1))
    }
  }

  private async readList (): Promise<void> {
    const answer = await this.instances.list()
    answer.ifRight(listed => {
      this.listLength = listed.length
      this.listed = listed
        .filter(({ kind, state }) => kind === ListedKind.EntryInstance && state === ListedState.Live)
        .map(this.addressOf)
      // Alone, and so perhaps without a configuration, it does not wait for its turn.
      if (this.isAlone()) {
        this.tryUnknown()
      }
    })
  }

  private unknownAddresses (): readonly string[] {
    const known = new Set(this.membership.table.all().map(member => member.address))
    return [...new Set([...this.seeds, ...this.listed])].filter(address => !known.has(address))
  }

  /** Seldom for a few dead in a large fleet, each tick for a half that is gone. */
  private tryDead (): void {
    const dead = this.deadAddresses()
    const share = TRIES_PER_DEAD * dead.length / this.membership.table.alive().length
    if (dead.length > 0 && this.membership.random.next() < share) {
      this.probeAddresses(this.membership.pick(dead, 1))
    }
  }

  private deadAddresses (): readonly string[] {
    const taken = new Set(this.membership.table.alive().map(member => member.address))
    return this.membership.table.all()
      .filter(member => member.state === MemberState.Dead && !taken.has(member.address))
      .map(member => member.address)
  }

  private probeAddresses (addresses: readonly string[]): void {
    const byAddress = new Map(this.membership.table.all().map(member => [member.address, member.name]))
    for (const address of addresses) {
      this.membership.messenger.send(address, { kind: MessageKind.Probe, entries: this.membership.greetingFor(byAddress.get(address)) })
    }
  }
}
