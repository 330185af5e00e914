/**
 * Sends this instance's facts down its computed tree and passes on those of
 * others. What does not fit a tick's bytes waits, and is replaced by a newer
 * word on the same thing if one comes, so that overload makes soft state older
 * but never queues without bound.
 */
import type { Membership } from '../membership/membership.js'
import { factBytes, MAX_PAYLOAD_BYTES, MessageKind, type Message } from '../membership/message.js'
import { factId, FactKind, type Fact } from './fact.js'
import { FactTable } from './factTable.js'
import { RelayTrees } from './relayTree.js'

/** Room for the fixed part of a message, bytes. */
const FIXED_PART_BYTES = 130

/** Fixed cost of one datagram, bytes: fixed part and headers. */
const DATAGRAM_BYTES = FIXED_PART_BYTES + 28

/** Bytes of facts that one tick may send: 3 KB/s of the 14 at two ticks a second, as much again received. */
const BYTES_PER_TICK = 1500

/** Largest fact, so that it fits a message with any others. */
const LARGEST_FACT_BYTES = 600

export type FactListener = (fact: Fact) => void

export class FactSystem {
  readonly table = FactTable.create()
  private readonly trees: RelayTrees
  private readonly outboxes = new Map<string, Map<string, Fact>>()
  private readonly listeners = new Set<FactListener>()
  private version = 0
  private unreadable = 0

  private constructor (private readonly membership: Membership) {
    this.trees = RelayTrees.create(membership.name(), membership.table)
  }

  static create (membership: Membership): FactSystem {
    return new FactSystem(membership)
  }

  /**
   * Tells all instances a fact that holds until the deadline.
   * @returns whether it was small enough to be told.
   */
  share (kind: FactKind, key: string, value: unknown, deadline: number): boolean {
    // Rises over restarts too, so that a restarted instance is believed at once.
    this.version = Math.max(this.version + 1, Math.floor(this.membership.clock.now()))
    const fact: Fact = { source: this.membership.name(), kind, key, version: this.version, deadline: Math.floor(deadline), value }
    if (factBytes(fact) > LARGEST_FACT_BYTES) {
      return false
    }
    if (this.table.put(fact, this.membership.clock.now())) {
      this.post(fact)
    }
    return true
  }

  onFact (listener: FactListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  receive (message: Message): void {
    const now = this.membership.clock.now()
    for (const fact of message.facts) {
      if (fact.source !== this.membership.name() && this.table.put(fact, now)) {
        this.post(fact)
        this.listeners.forEach(listener => this.hand(fact, listener))
      }
    }
  }

  /** Facts that a listener could not read. */
  unreadableCount (): number {
    return this.unreadable
  }

  /** Facts waiting to be sent. */
  waitingCount (): number {
    return [...this.outboxes.values()].reduce((sum, outbox) => sum + outbox.size, 0)
  }

  /** Run each tick. */
  tick (): void {
    this.table.expire(this.membership.clock.now())
    this.flush()
  }

  /** A member with another release may mean something else by a fact; that must not end this process. */
  private hand (fact: Fact, listener: FactListener): void {
    try {
      listener(fact)
    } catch {
      this.unreadable += 1
    }
  }

  private post (fact: Fact): void {
    for (const child of this.trees.childrenFor(fact.source)) {
      const outbox = this.outboxes.get(child) ?? new Map<string, Fact>()
      outbox.set(factId(fact), fact)
      this.outboxes.set(child, outbox)
    }
  }

  /** Suspects go to every receiver before anything else goes to one. */
  private flush (): void {
    const room = this.sendAll(BYTES_PER_TICK, isUrgent)
    this.sendAll(room, () => true)
  }

  /** @returns the room that is left, bytes. */
  private sendAll (bytes: number, isMeant: (fact: Fact) => boolean): number {
    let room = bytes
    for (const [name, outbox] of [...this.outboxes]) {
      const target = this.membership.table.get(name)
      // Without a deadline the member is alive; suspects and the gone get nothing.
      if (target === undefined || target.deadline !== Infinity) {
        this.outboxes.delete(name)
        continue
      }
      if (room < DATAGRAM_BYTES) {
        break
      }
      const sent = this.sendSome(target.address, outbox, room, isMeant)
      room -= sent
      if (sent > 0) {
        this.requeue(name, outbox)
      }
    }
    return room
  }

  /** Puts what is left of an outbox last, so that all receivers take turns. */
  private requeue (name: string, outbox: Map<string, Fact>): void {
    this.outboxes.delete(name)
    if (outbox.size > 0) {
      this.outboxes.set(name, outbox)
    }
  }

  private sendSome (address: string, outbox: Map<string, Fact>, room: number, isMeant: (fact: Fact) => boolean): number {
    const now = this.membership.clock.now()
    const facts = takeFacts(outbox, Math.min(room, MAX_PAYLOAD_BYTES) - FIXED_PART_BYTES, isMeant, now)
    if (facts.length === 0) {
      return 0
    }
    this.membership.messenger.send(address, { kind: MessageKind.Facts, facts })
    return DATAGRAM_BYTES + facts.reduce((sum, fact) => sum + factBytes(fact), 0)
  }
}

/** Without it in time, a request that crashes backend servers takes one more. */
function isUrgent (fact: Fact): boolean {
  return fact.kind === FactKind.Suspect
}

/** Takes facts out of the outbox up to so many bytes, urgent kinds first. */
function takeFacts (outbox: Map<string, Fact>, bytes: number, isMeant: (fact: Fact) => boolean, now: number): readonly Fact[] {
  const taken: Fact[] = []
  let room = bytes
  for (const [id, fact] of [...outbox].sort(([, a], [, b]) => a.kind - b.kind)) {
    if (fact.deadline <= now) {
      outbox.delete(id)
      continue
    }
    const size = factBytes(fact)
    if (size > room || !isMeant(fact)) {
      continue
    }
    room -= size
    outbox.delete(id)
    taken.push(fact)
  }
  return taken
}
