/**
 * Finds members that this instance does not know or holds for dead: it probes
 * the addresses of its settings, those in the platform's list of instances, and
 * dead members. In this way a new instance joins, and the two sides of a network
 * partition find each other again when the network recovers.
 */
import { ListedKind, ListedState, type Clock, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import type { Membership } from './membership.js'
import { MessageKind } from './message.js'
import { MemberState } from './member.js'

/** Shortest interval between reads of the platform's list, milliseconds; the list itself lags by seconds. */
const LIST_INTERVAL_MS = 5000

/** Interval for each entry of the list, milliseconds, so that reading a long list stays at some 2 KB/s at any size. */
const LIST_INTERVAL_PER_ENTRY_MS = 75

/** Interval for an instance that knows no other, milliseconds. */
const ALONE_LIST_INTERVAL_MS = 1000

/** Interval between probes of unknown addresses, milliseconds. */
const PROBE_INTERVAL_MS = 2000

/** Number of addresses that an instance probes at once if it knows no other. */
const ALONE_PROBE_COUNT = 3

/**
 * Average number of probes of one dead member by the whole fleet each tick. If
 * every member probed independently, a process that takes over a dead member's
 * address would be flooded.
 */
const PROBES_PER_DEAD_MEMBER = 0.5

/** Returns the address for datagrams of an instance that the platform lists. */
export type ListedAddressResolver = (instance: ListedInstance) => string

export class DiscoverySystem {
  private listed: readonly string[] = []
  private listLength = 0
  /** Milliseconds of Unix time. */
  private nextListAt = 0
  private nextProbeAt = 0

  private constructor (
    private readonly membership: Membership,
    private readonly seeds: readonly string[],
    private readonly instances: InstanceList,
    private readonly addressOf: ListedAddressResolver,
    private readonly clock: Clock
  ) {}

  static create (membership: Membership, seeds: readonly string[], instances: InstanceList, addressOf: ListedAddressResolver, clock: Clock): DiscoverySystem {
    return new DiscoverySystem(membership, seeds, instances, addressOf, clock)
  }

  /** Run each tick. */
  tick (): void {
    const now = this.clock.now()
    if (now >= this.nextListAt) {
      this.nextListAt = now + this.listPeriod()
      this.readList().catch(() => {})
    }
    if (now >= this.nextProbeAt) {
      this.probeUnknown()
    }
    this.probeDead()
  }

  private listPeriod (): number {
    return this.isAlone() ? ALONE_LIST_INTERVAL_MS : Math.max(LIST_INTERVAL_MS, this.listLength * LIST_INTERVAL_PER_ENTRY_MS)
  }

  private isAlone (): boolean {
    return this.membership.others().length === 0
  }

  /** An isolated instance probes at once; otherwise all members together probe each address about once in the interval. */
  private probeUnknown (): void {
    this.nextProbeAt = this.clock.now() + PROBE_INTERVAL_MS
    const unknown = this.unknownAddresses()
    const share = unknown.length / this.membership.table.alive().length
    if (this.isAlone()) {
      this.probeAddresses(this.membership.pickRandom(unknown, ALONE_PROBE_COUNT))
    } else if (this.membership.random.next() < share) {
      this.probeAddresses(this.membership.pickRandom(unknown, 1))
    }
  }

  private async readList (): Promise<void> {
    const answer = await this.instances.list()
    answer.ifRight(listed => {
      this.listLength = listed.length
      this.listed = listed
        .filter(({ kind, state }) => kind === ListedKind.EntryInstance && state === ListedState.Live)
        .map(this.addressOf)
      // An isolated instance may have no configuration, so it does not wait for the interval.
      if (this.isAlone()) {
        this.probeUnknown()
      }
    })
  }

  private unknownAddresses (): readonly string[] {
    const known = new Set(this.membership.table.all().map(member => member.address))
    return [...new Set([...this.seeds, ...this.listed])].filter(address => !known.has(address))
  }

  /** Probes seldom for a few dead members in a large fleet, and each tick when half of the fleet is dead. */
  private probeDead (): void {
    const dead = this.deadAddresses()
    const share = PROBES_PER_DEAD_MEMBER * dead.length / this.membership.table.alive().length
    if (dead.length > 0 && this.membership.random.next() < share) {
      this.probeAddresses(this.membership.pickRandom(dead, 1))
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
      this.membership.messenger.send(address, { kind: MessageKind.Probe, entries: this.membership.baseEntriesFor(byAddress.get(address)) })
    }
  }
}
