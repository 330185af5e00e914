/**
 * Several instances in one process over a fake network, log and instance list.
 */
import { Left, Right } from 'purify-ts'
import { Failure, FailureCode, ListedKind, ListedState, SeededRandom, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import type { VirtualClock } from 'foxtaillever-testing'
import { FakeLog } from '../configuration/__fixtures__/fakeLog.js'
import { Fleet } from '../fleet.js'
import { FakeNetwork } from '../membership/__fixtures__/fakeNetwork.js'
import type { Peers } from '../membership/peers.js'
import { KeyRing, Permission, type Key } from '../security/keyRing.js'

export const testKey: Key = { id: 'k1', secret: 'a secret of many characters', permissions: [Permission.Join] }

const RETENTION_MS = 86_400_000

export interface Instance {
  readonly name: string
  readonly address: string
  readonly keys: KeyRing
  readonly fleet: Fleet
}

/** Instances are spread over the failure domains in turn. */
const DOMAIN_COUNT = 3

export class FakeFleet {
  readonly log: FakeLog
  readonly network: FakeNetwork
  readonly instances = new Map<string, Instance>()
  listed: ListedInstance[] = []
  private startCount = 0

  private constructor (private readonly clock: VirtualClock, private readonly random: SeededRandom, lossShare: number) {
    this.log = FakeLog.create(clock)
    this.network = FakeNetwork.create(clock, random, lossShare)
  }

  static create (clock: VirtualClock, seed: number, lossShare = 0): FakeFleet {
    return new FakeFleet(clock, SeededRandom.create(seed), lossShare)
  }

  /** Starts an instance. If the name is in use, the new instance replaces the old one at another address. */
  async start (name: string, clock = this.clock): Promise<Instance> {
    this.startCount += 1
    const address = `10.0.0.${this.startCount}:7000`
    const failureDomain = `domain-${this.startCount % DOMAIN_COUNT}`
    this.listed = [...this.listed.filter(entry => entry.name !== name), { name, address, failureDomain, kind: ListedKind.EntryInstance, state: ListedState.Live }]
    const keys = KeyRing.create([testKey])
    const fleet = Fleet.create({
      self: { name, address, controlAddress: address, failureDomain },
      seeds: [],
      log: this.log,
      logRetentionMs: RETENTION_MS,
      instances: this.instanceList(),
      datagrams: this.network.datagrams(address),
      peers: this.peersOf(address),
      keys,
      clock,
      random: SeededRandom.create(1000 + this.startCount)
    })
    const instance = { name, address, keys, fleet }
    this.instances.set(name, instance)
    await fleet.start()
    return instance
  }

  async startAll (count: number): Promise<readonly Instance[]> {
    const names = Array.from({ length: count }, (_, index) => `instance-${index}`)
    return await Promise.all(names.map(name => this.start(name)))
  }

  /** Ends an instance without notice, as a crash does. */
  async crash (name: string): Promise<void> {
    const { address } = this.instances.get(name)!
    this.instances.delete(name)
    await this.network.datagrams(address).close()
    this.network.partition((from, to) => from === address || to === address)
  }

  private instanceList (): InstanceList {
    return { list: async () => Right([...this.listed]) }
  }

  private peersOf (from: string): Peers {
    const findReachable = (address: string): Fleet | undefined => {
      const instance = [...this.instances.values()].find(candidate => candidate.address === address)
      return this.network.isReachable(from, address) ? instance?.fleet : undefined
    }
    const refused = Left(Failure.notRun(FailureCode.ConnectionRefused, 'No instance answers.'))
    return {
      configuration: async address => {
        const fleet = findReachable(address)
        return fleet ? Right(fleet.configuration()) : refused
      },
      changes: async (address, revision) => {
        const changes = findReachable(address)?.changesSince(revision)
        return changes ? Right(changes) : refused
      },
      members: async address => {
        const fleet = findReachable(address)
        return fleet ? Right(fleet.memberEntries()) : refused
      }
    }
  }
}

export function namesOf ({ fleet }: Instance): readonly string[] {
  return fleet.members().map(member => member.name)
}
