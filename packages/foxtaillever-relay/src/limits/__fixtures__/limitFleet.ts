/** Instances that share limits over simulated datagrams, which may be lost, delayed, duplicated or partitioned; every decision is recorded for the tests to check. */
import { SeededRandom, type Random } from 'foxtaillever-core'
import { LimitOutcome, type SharedLimit, type LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { unpackDatagram } from '../../peers/datagram.js'
import { LimitOwners } from '../limitOwners.js'
import { encodeLimitMessage, readLimitMessage, type LimitMessage } from '../limitMessage.js'
import { createQuotaKind } from '../accountQuotas.js'
import { serverLimitKind } from '../serverLimits.js'
import { LimitProtocol, type LimitKind, type LimitResult } from '../limitProtocol.js'

export const tolerance: LimitTolerance = { overage: 0.1, slack: 72_000, windowMs: 8000 }

export const quotaKind = createQuotaKind(tolerance)

/** Interval between two updates of the members, milliseconds. */
const HEARTBEAT_MS = 250

/** Size of the IP and UDP headers, bytes. */
const HEADER_BYTES = 28

/** A request that was admitted. */
export interface Admission {
  readonly at: number
  readonly cost: number
}

/** A claim and its result. */
export interface DecidedClaim extends Admission {
  readonly result: LimitResult
  /** Time until the decision, milliseconds. */
  readonly waitedMs: number
}

export interface FleetNode {
  readonly address: string
  /** Addresses of the instances that it knows, itself included. */
  knownAddresses: Set<string>
  protocol: LimitProtocol
  limitOwners: LimitOwners
  isDown: boolean
  /** Partition; instances reach only those on the same side. */
  side: number
  sentBytes: number
}

export interface FleetFaults {
  /** Shares of all datagrams. */
  lost: number
  doubled: number
  /** Longest delay of a datagram, milliseconds. */
  maxDelayMs: number
}

export class LimitFleet {
  readonly clock = VirtualClock.create()
  readonly nodes: FleetNode[] = []
  readonly claims = new Map<string, DecidedClaim[]>()
  readonly faults: FleetFaults = { lost: 0, doubled: 0, maxDelayMs: 2 }
  private readonly random: Random

  private constructor (private readonly kind: LimitKind, seed: number) {
    this.random = SeededRandom.create(seed)
  }

  /** Starts the instances and runs until all know each other. */
  static async start (size: number, seed = 1, kind = quotaKind): Promise<LimitFleet> {
    const fleet = new LimitFleet(kind, seed)
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 3}.${index}:7340`)
    addresses.forEach(address => fleet.add(address, addresses))
    fleet.heartbeat()
    await fleet.pass(6000)
    return fleet
  }

  /**
   * Starts or restarts an instance; it knows only the addresses of the others.
   * @param bootMs time since its process started, milliseconds.
   */
  add (address: string, known: readonly string[], bootMs = 0): FleetNode {
    const earlier = this.nodes.find(node => node.address === address)
    const node = earlier ?? { address, isDown: false, side: 0, sentBytes: 0 } as unknown as FleetNode
    const limitOwners = LimitOwners.create(this.clock.now() - bootMs)
    Object.assign(node, { knownAddresses: new Set([address, ...known]), limitOwners, isDown: false })
    node.protocol = LimitProtocol.create({
      clock: this.clock,
      address,
      ...this.kind,
      ranking: account => limitOwners.of(account),
      stableSince: () => limitOwners.stableSince,
      instanceCount: () => node.knownAddresses.size,
      send: (to, message) => this.send(node, to, message),
      onInstanceSeen: peer => { node.knownAddresses.add(peer); this.updateMembers(node) },
      onDecided: () => {},
      onUnresponsive: () => {}
    })
    if (!earlier) {
      this.nodes.push(node)
    }
    this.updateMembers(node)
    return node
  }

  up (): FleetNode[] {
    return this.nodes.filter(({ isDown }) => !isDown)
  }

  /** Claims one request of the account at the instance and records the result. */
  claim ({ protocol }: FleetNode, key: string, limit: SharedLimit, cost: number): void {
    const at = this.clock.now()
    protocol.claim({ key, limit, cost }, result => {
      const decided = this.claims.get(key) ?? []
      decided.push({ at: this.clock.now(), cost, result, waitedMs: this.clock.now() - at })
      this.claims.set(key, decided)
    })
  }

  /**
   * Sends requests of an account at random times for a while.
   * @param perSecond tokens of all instances together.
   * @param pick chooses the instance that gets a request; by default any that is up.
   */
  async load (key: string, limit: () => SharedLimit, perSecond: number, cost: number, ms: number, pick: (up: FleetNode[]) => FleetNode | undefined = up => up[this.random.below(up.length)]): Promise<void> {
    const until = this.clock.now() + ms
    while (this.clock.now() < until) {
      await this.pass(-Math.log(1 - this.random.next()) * cost / perSecond * 1000)
      const node = pick(this.up())
      if (node) {
        this.claim(node, key, limit(), cost)
      }
    }
  }

  async pass (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }

  admitted (key: string): Admission[] {
    return (this.claims.get(key) ?? []).filter(({ result }) => result.outcome === LimitOutcome.Granted)
  }

  /** Largest cost admitted in any window. */
  maxInWindow (admitted: readonly Admission[]): number {
    let from = 0
    let sum = 0
    let max = 0
    for (const { at, cost } of admitted) {
      sum += cost
      while ((admitted[from] as Admission).at < at - this.kind.tolerance.windowMs) {
        sum -= (admitted[from++] as Admission).cost
      }
      max = Math.max(max, sum)
    }
    return max
  }

  private heartbeat (): void {
    this.up().forEach(node => this.updateMembers(node))
    this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.heartbeat())
  }

  private updateMembers ({ knownAddresses, limitOwners }: FleetNode): void {
    limitOwners.setMembers([...knownAddresses].sort(), knownAddresses.size >= this.nodes.length, this.clock.now())
  }

  private send (from: FleetNode, to: string, message: LimitMessage): void {
    const bytes = encodeLimitMessage(message)
    from.sentBytes += bytes.length + HEADER_BYTES
    const { lost, doubled, maxDelayMs } = this.faults
    const copies = this.random.next() < lost ? 0 : this.random.next() < doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.clock.at(this.clock.now() + 0.1 + this.random.next() * maxDelayMs, () => {
        const receiver = this.nodes.find(({ address }) => address === to)
        if (receiver && !receiver.isDown && receiver.side === from.side) {
          unpackDatagram(bytes).chain(readLimitMessage).ifJust(received => receiver.protocol.receive(received))
        }
      })
    }
  }
}

/** A kind of limit, and how histories draw its parameters. */
export interface LimitSubject {
  readonly kind: LimitKind
  readonly drawRate: (random: Random) => number
  readonly minRate: number
  readonly burstOf: (perSecond: number) => number
  readonly drawCost: (random: Random) => number
  /** Cost that the rule allows in a window. */
  readonly allowed: (limit: SharedLimit) => number
}

export const quotas: LimitSubject = {
  kind: quotaKind,
  drawRate: random => 18_000 * 2 ** random.below(6),
  minRate: 18_000,
  burstOf: perSecond => perSecond,
  drawCost: random => 500 + random.below(9500),
  allowed
}

/** Rates that servers state: from one request in four seconds to sixteen a second. */
export const serverLimits: LimitSubject = {
  kind: serverLimitKind,
  drawRate: random => 0.25 * 2 ** random.below(7),
  minRate: 0.25,
  burstOf: () => 0,
  drawCost: () => 1,
  allowed: ({ perSecond }) => 1.5 * perSecond * serverLimitKind.tolerance.windowMs / 1000 + 5
}

/** Cost that the rule allows a quota in a window. */
export function allowed ({ perSecond, burst }: SharedLimit): number {
  const { overage, slack, windowMs } = tolerance
  return (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack
}
