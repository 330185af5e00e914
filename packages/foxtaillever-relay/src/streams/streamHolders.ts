/**
 * Computes from a stream's id which instances keep its software version: the first
 * by rendezvous hashing in each of two failure domains, others than that of the
 * instance that began it where there are several. An instance that takes the stream
 * up asks the first ones of all failure domains: it may know other members, and not
 * which instance began the stream.
 */
import { hashNumber } from 'foxtaillever-core'
import { watchersOf, type Watcher } from 'foxtaillever-policy/relay/computedWatchers'

/** Instances that keep a stream's version besides the one that began it. */
const HOLDERS = 2

/** Instances of each failure domain that are asked: the first may have joined since. */
const ASKED_PER_DOMAIN = 2

/** A fleet with fewer other instances is asked as a whole, the one that began the stream among them. */
const SMALL_FLEET = 8

export interface StreamMember {
  readonly address: string
  /** Empty while it is unknown. */
  readonly failureDomain: string
}

export class StreamHolders {
  private known: readonly StreamMember[] = []
  private members: readonly Watcher[] = []
  private readonly membersByDomain = new Map<string, Watcher[]>()

  private constructor (private readonly own: StreamMember) {}

  static create (own: StreamMember): StreamHolders {
    return new StreamHolders(own)
  }

  /** @param members the other instances. */
  setMembers (members: readonly StreamMember[]): void {
    if (members.length === this.known.length && members.every((member, index) => isSameMember(member, this.known[index]))) {
      return
    }
    this.known = members
    this.members = members.map(({ address }) => ({ address, hash: hashNumber(address) }))
    this.membersByDomain.clear()
    members.forEach(({ failureDomain }, index) => {
      const ofDomain = this.membersByDomain.get(failureDomain) ?? []
      ofDomain.push(this.members[index] as Watcher)
      this.membersByDomain.set(failureDomain, ofDomain)
    })
  }

  /** Addresses of the instances that keep the version of a stream that this instance began. */
  of (id: string): readonly string[] {
    const key = hashNumber(id)
    const others = [...this.membersByDomain].filter(([domain]) => domain !== this.own.failureDomain)
    const firsts = others.flatMap(([, members]) => watchersOf(key, members, 1))
    const holders = watchersOf(key, firsts, HOLDERS)
    const rest = holders.length < HOLDERS ? watchersOf(key, this.members.filter(member => !holders.includes(member)), HOLDERS - holders.length) : []
    return [...holders, ...rest].map(({ address }) => address)
  }

  /** Addresses of the instances that may know the version of a stream. */
  asked (id: string): readonly string[] {
    const asked = this.members.length <= SMALL_FLEET ? this.members : [...this.membersByDomain.values()].flatMap(members => watchersOf(hashNumber(id), members, ASKED_PER_DOMAIN))
    return asked.map(({ address }) => address)
  }
}

function isSameMember (a: StreamMember, b: StreamMember | undefined): boolean {
  return a.address === b?.address && a.failureDomain === b.failureDomain
}
