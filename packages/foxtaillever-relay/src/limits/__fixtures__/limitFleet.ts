/** Instances that share quotas, over datagrams in memory that get lost, late and doubled, and may be cut; all admissions are kept for an oracle. */
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

/** Between two looks at the members, milliseconds. */
const BEAT_MS = 250

/** IP and UDP headers, bytes. */
const HEADERS = 28

/** One request that may run. */
export interface Admission {
  readonly at: number
  readonly cost: number
}

/** What was asked for, and what came of it. */
export interface Asked extends Admission {
  readonly result: LimitResult
  /** Until it was decided, milliseconds. */
  readonly waitedMs: number
}

export interface Node {
  readonly address: string
  /** Those it knows, itself included. */
  known: Set<string>
  protocol: LimitProtocol
  limitOwners: LimitOwners
  isDown: boolean
  /** Those of one side hear each other only. */
  side: number
  sentBytes: number
}

export interface FleetFaults {
  /** Parts of all datagrams. */
  lost: number
  doubled: number
  /** Longest way of a datagram, milliseconds. */
  longestMs: number
}

export class LimitFleet {
  readonly clock = VirtualClock.create()
  readonly nodes: Node[] = []
  readonly asked = new Map<string, Asked[]>()
  readonly faults: FleetFaults = { lost: 0, doubled: 0, longestMs: 2 }
  private readonly random: Random

  private constructor (private readonly kind: LimitKind, seed: number) {
    this.random = SeededRandom.create(seed)
  }

  /** Has run for long enough that all know each other. */
  static async start (size: number, seed = 1, kind = quotaKind): Promise<LimitFleet> {
    const fleet = new LimitFleet(kind, seed)
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 3}.${index}:7340`)
    addresses.forEach(address => fleet.add(address, addresses))
    fleet.beat()
    await fleet.pass(6000)
    return fleet
  }

  /**
   * An instance starts, or starts again: it knows nothing of before but the others' addresses.
   * @param bootMs since its process started, milliseconds.
   */
  add (address: string, known: readonly string[], bootMs = 0): Node {
    const earlier = this.nodes.find(node => node.address === address)
    const node = earlier ?? { address, isDown: false, side: 0, sentBytes: 0 } as unknown as Node
    const limitOwners = LimitOwners.create(this.clock.now() - bootMs)
    Object.assign(node, { known: new Set([address, ...known]), limitOwners, isDown: false })
    node.protocol = LimitProtocol.create({
      clock: this.clock,
      address,
      ...this.kind,
      ranking: account => limitOwners.of(account),
      settledAt: () => limitOwners.settledAt,
      instances: () => node.known.size,
      send: (to, message) => this.send(node, to, message),
      onMet: other => { node.known.add(other); this.look(node) },
      onDecided: () => {},
      onPassedOver: () => {}
    })
    if (!earlier) {
      this.nodes.push(node)
    }
    this.look(node)
    return node
  }

  up (): Node[] {
    return this.nodes.filter(({ isDown }) => !isDown)
  }

  /** One request of the account at the instance; the oracle hears what came of it. */
  ask ({ protocol }: Node, key: string, limit: SharedLimit, cost: number): void {
    const at = this.clock.now()
    protocol.claim({ key, limit, cost }, result => {
      const asked = this.asked.get(key) ?? []
      asked.push({ at: this.clock.now(), cost, result, waitedMs: this.clock.now() - at })
      this.asked.set(key, asked)
    })
  }

  /**
   * Requests of an account come at random instants for a while.
   * @param perSecond tokens of all instances together.
   * @param pick draws who gets a request; any that is up unless said otherwise.
   */
  async load (key: string, limit: () => SharedLimit, perSecond: number, cost: number, ms: number, pick: (up: Node[]) => Node | undefined = up => up[this.random.below(up.length)]): Promise<void> {
    const until = this.clock.now() + ms
    while (this.clock.now() < until) {
      await this.pass(-Math.log(1 - this.random.next()) * cost / perSecond * 1000)
      const node = pick(this.up())
      if (node) {
        this.ask(node, key, limit(), cost)
      }
    }
  }

  async pass (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }

  admitted (key: string): Admission[] {
    return (this.asked.get(key) ?? []).filter(({ result }) => result.outcome === LimitOutcome.Granted)
  }

  /** Most that was admitted in any window. */
  mostInWindow (admitted: readonly Admission[]): number {
    let from = 0
    let sum = 0
    let most = 0
    for (const { at, cost } of admitted) {
      sum += cost
      while ((admitted[from] as Admission).at < at - this.kind.tolerance.windowMs) {
        sum -= (admitted[from++] as Admission).cost
      }
      most = Math.max(most, sum)
    }
    return most
  }

  private beat (): void {
    this.up().forEach(node => this.look(node))
    this.clock.at(this.clock.now() + BEAT_MS, () => this.beat())
  }

  private look ({ known, limitOwners }: Node): void {
    limitOwners.setMembers([...known].sort(), known.size >= this.nodes.length, this.clock.now())
  }

  private send (from: Node, to: string, message: LimitMessage): void {
    const bytes = encodeLimitMessage(message)
    from.sentBytes += bytes.length + HEADERS
    const { lost, doubled, longestMs } = this.faults
    const copies = this.random.next() < lost ? 0 : this.random.next() < doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.clock.at(this.clock.now() + 0.1 + this.random.next() * longestMs, () => {
        const receiver = this.nodes.find(({ address }) => address === to)
        if (receiver && !receiver.isDown && receiver.side === from.side) {
          unpackDatagram(bytes).chain(readLimitMessage).ifJust(heard => receiver.protocol.hear(heard))
        }
      })
    }
  }
}

/** A kind of limit, and what histories draw of it. */
export interface LimitSubject {
  readonly kind: LimitKind
  readonly drawRate: (random: Random) => number
  readonly leastRate: number
  readonly burstOf: (perSecond: number) => number
  readonly drawCost: (random: Random) => number
  /** What the rule allows in a window. */
  readonly allowed: (limit: SharedLimit) => number
}

export const quotas: LimitSubject = {
  kind: quotaKind,
  drawRate: random => 18_000 * 2 ** random.below(6),
  leastRate: 18_000,
  burstOf: perSecond => perSecond,
  drawCost: random => 500 + random.below(9500),
  allowed
}

/** Rates that servers state: from one request in four seconds to sixteen a second. */
export const serverLimits: LimitSubject = {
  kind: serverLimitKind,
  drawRate: random => 0.25 * 2 ** random.below(7),
  leastRate: 0.25,
  burstOf: () => 0,
  drawCost: () => 1,
  allowed: ({ perSecond }) => 1.5 * perSecond * serverLimitKind.tolerance.windowMs / 1000 + 5
}

/** What the rule allows of a quota in a window. */
export function allowed ({ perSecond, burst }: SharedLimit): number {
  const { overage, slack, windowMs } = tolerance
  return (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack
}
