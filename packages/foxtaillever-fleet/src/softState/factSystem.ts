/**
 * Sends this instance's facts down its computed tree and forwards those of
 * others. Facts beyond the byte limit of a tick are queued, and a newer version
 * replaces a queued one, so that overload makes soft state older but never grows
 * the queue without bound.
 */
import type { Membership } from '../membership/membership.js'
import { factBytes, MAX_PAYLOAD_BYTES, MessageKind, type Message } from '../membership/message.js'
import { factId, FactKind, type Fact } from './fact.js'
import { FactTable } from './factTable.js'
import { RelayTrees } from './relayTree.js'

/** Space reserved for the fixed part of a message, bytes. */
const FIXED_PART_BYTES = 130

/** Fixed cost of one datagram, bytes: fixed part and headers. */
const DATAGRAM_BYTES = FIXED_PART_BYTES + 28

/** Bytes of facts that one tick may send: at two ticks a second, 3 KB/s of the budget of 14 KB/s, and as much again received. */
const BYTES_PER_TICK = 1500

/** Maximum size of a fact, bytes; it fits into any message. */
const MAX_FACT_BYTES = 600

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
   * Sends all instances a fact that holds until the deadline.
   * @returns whether it was small enough to be sent.
   */
  share (kind: FactKind, key: string, value: unknown, deadline: number): boolean {
    // The version rises over restarts too, so that facts of a restarted instance are accepted at once.
    this.version = Math.max(this.version + 1, Math.floor(this.membership.clock.now()))
    const fact: Fact = { source: this.membership.name(), kind, key, version: this.version, deadline: Math.floor(deadline), value }
    if (factBytes(fact) > MAX_FACT_BYTES) {
      return false
    }
    if (this.table.applyFact(fact, this.membership.clock.now())) {
      this.enqueue(fact)
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
      if (fact.source !== this.membership.name() && this.table.applyFact(fact, now)) {
        this.enqueue(fact)
        this.listeners.forEach(listener => this.notifyListener(fact, listener))
      }
    }
  }

  /** Number of facts that a listener failed to read. */
  unreadableCount (): number {
    return this.unreadable
  }

  /** Number of facts that wait to be sent. */
  waitingCount (): number {
    return [...this.outboxes.values()].reduce((sum, outbox) => sum + outbox.size, 0)
  }

  /** Run each tick. */
  tick (): void {
    this.table.expire(this.membership.clock.now())
    this.sendQueued()
  }

  /** A member with another release may use another format for a fact's value; that must not crash this process. */
  private notifyListener (fact: Fact, listener: FactListener): void {
    try {
      listener(fact)
    } catch {
      this.unreadable += 1
    }
  }

  private enqueue (fact: Fact): void {
    for (const child of this.trees.childrenFor(fact.source)) {
      const outbox = this.outboxes.get(child) ?? new Map<string, Fact>()
      outbox.set(factId(fact), fact)
      this.outboxes.set(child, outbox)
    }
  }

  /** Sends suspected requests to all receivers before any other fact. */
  private sendQueued (): void {
    const bytesLeft = this.sendAll(BYTES_PER_TICK, isUrgent)
    this.sendAll(bytesLeft, () => true)
  }

  /** @returns the number of bytes left. */
  private sendAll (bytes: number, isSelected: (fact: Fact) => boolean): number {
    let bytesLeft = bytes
    for (const [name, outbox] of [...this.outboxes]) {
      const target = this.membership.table.get(name)
      // Only members that are alive have no deadline; suspect and gone members get no facts.
      if (target === undefined || target.deadline !== Infinity) {
        this.outboxes.delete(name)
        continue
      }
      if (bytesLeft < DATAGRAM_BYTES) {
        break
      }
      const sent = this.sendBatch(target.address, outbox, bytesLeft, isSelected)
      bytesLeft -= sent
      if (sent > 0) {
        this.requeue(name, outbox)
      }
    }
    return bytesLeft
  }

  /** Moves an outbox with remaining facts to the end, so that receivers take turns. */
  private requeue (name: string, outbox: Map<string, Fact>): void {
    this.outboxes.delete(name)
    if (outbox.size > 0) {
      this.outboxes.set(name, outbox)
    }
  }

  private sendBatch (address: string, outbox: Map<string, Fact>, bytesLeft: number, isSelected: (fact: Fact) => boolean): number {
    const now = this.membership.clock.now()
    const facts = takeFacts(outbox, Math.min(bytesLeft, MAX_PAYLOAD_BYTES) - FIXED_PART_BYTES, isSelected, now)
    if (facts.length === 0) {
      return 0
    }
    this.membership.messenger.send(address, { kind: MessageKind.Facts, facts })
    return DATAGRAM_BYTES + facts.reduce((sum, fact) => sum + factBytes(fact), 0)
  }
}

/** A late fact about a suspected request lets that request crash another backend server. */
function isUrgent (fact: Fact): boolean {
  return fact.kind === FactKind.Suspect
}

/** Takes facts from the outbox up to so many bytes, urgent kinds first. */
function takeFacts (outbox: Map<string, Fact>, bytes: number, isSelected: (fact: Fact) => boolean, now: number): readonly Fact[] {
  const taken: Fact[] = []
  let bytesLeft = bytes
  for (const [id, fact] of [...outbox].sort(([, a], [, b]) => a.kind - b.kind)) {
    if (fact.deadline <= now) {
      outbox.delete(id)
      continue
    }
    const size = factBytes(fact)
    if (size > bytesLeft || !isSelected(fact)) {
      continue
    }
    bytesLeft -= size
    outbox.delete(id)
    taken.push(fact)
  }
  return taken
}
