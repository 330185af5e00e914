/**
 * What one instance knows of the members, and how it applies updates from others.
 */
import type { Clock, Random } from 'foxtaillever-core'
import { ContactTable } from './contactTable.js'
import { isLive, MemberState, type Member, type MemberEntry } from './member.js'
import { MemberTable } from './memberTable.js'
import { entryBytes, MAX_PAYLOAD_BYTES, type Message } from './message.js'
import type { Messenger } from './messenger.js'
import { UpdateQueue } from './updateQueue.js'
import type { Self } from './self.js'

/** Space reserved for the fixed part of a message, bytes. */
const FIXED_PART_BYTES = 250

/** Bytes of member updates that one message may carry. */
const MAX_MESSAGE_UPDATE_BYTES = MAX_PAYLOAD_BYTES - FIXED_PART_BYTES

/** Bytes of member updates that all messages of one tick may carry: 3 KB/s of the budget of 14 KB/s, and as much again received. */
const MAX_TICK_UPDATE_BYTES = 1500

export class Membership {
  readonly contacts = ContactTable.create()
  readonly updates = UpdateQueue.create()
  private updateBytesLeft = MAX_TICK_UPDATE_BYTES

  private constructor (
    readonly self: Self,
    readonly table: MemberTable,
    readonly messenger: Messenger,
    readonly clock: Clock,
    readonly random: Random
  ) {
    table.merge(self.entry(), clock.now())
  }

  static create (self: Self, table: MemberTable, messenger: Messenger, clock: Clock, random: Random): Membership {
    return new Membership(self, table, messenger, clock, random)
  }

  name (): string {
    return this.self.entry().name
  }

  /** Members that are alive, without this instance. */
  others (): readonly Member[] {
    return this.table.alive().filter(member => member.name !== this.name())
  }

  /** Applies what a message states about its sender and other members. */
  receive (message: Message): void {
    message.entries.forEach(entry => this.applyEntry(entry, true))
    this.contacts.recordContact(message.sender, message.incarnation, message.position, this.clock.now())
  }

  /**
   * Applies one entry.
   * @param isForwarded whether a change is sent on to others; false for whole tables, which all instances compare anyway.
   */
  applyEntry (entry: MemberEntry, isForwarded: boolean): void {
    if (entry.name === this.name()) {
      if (this.self.refute(entry)) {
        this.announce()
      }
      return
    }
    if (this.table.merge(entry, this.clock.now()) && isForwarded) {
      this.updates.add(entry, this.table.alive().length)
    }
  }

  /** Queues this instance's own entry for sending to the others. */
  announce (): void {
    this.table.replaceOwnEntry(this.self.entry(), this.clock.now())
    this.updates.add(this.self.entry(), this.table.alive().length)
  }

  markSuspect (name: string): void {
    const member = this.table.get(name)
    if (member !== undefined && isLive(member)) {
      this.applyEntry({ ...member, state: MemberState.Suspect }, true)
    }
  }

  /**
   * Entries for any message: this instance itself and, if the receiver is not
   * alive in this table, the receiver's entry, so that it can refute it.
   */
  baseEntriesFor (receiver: string | undefined): readonly MemberEntry[] {
    const known = receiver === undefined ? undefined : this.table.get(receiver)
    const refutable = known === undefined || isLive(known) ? [] : [known]
    return [this.self.entry(), ...refutable]
  }

  /** The base entries and as many member updates as this tick has bytes left for. */
  entriesFor (receiver: string): readonly MemberEntry[] {
    const updates = this.updates.takeEntries(Math.min(MAX_MESSAGE_UPDATE_BYTES, this.updateBytesLeft))
    this.updateBytesLeft -= updates.reduce((sum, entry) => sum + entryBytes(entry), 0)
    return [...this.baseEntriesFor(receiver), ...updates]
  }

  /** Run each tick. */
  tick (): void {
    this.updateBytesLeft = MAX_TICK_UPDATE_BYTES
    const now = this.clock.now()
    this.table.expire(now).forEach(entry => this.updates.add(entry, this.table.alive().length))
    this.contacts.retain(name => this.table.get(name) !== undefined)
  }

  /** Picks some entries at random, each at most once. */
  pickRandom<Entry> (entries: readonly Entry[], count: number): readonly Entry[] {
    const left = [...entries]
    const picked: Entry[] = []
    while (picked.length < count && left.length > 0) {
      const [entry] = left.splice(this.random.below(left.length), 1)
      picked.push(entry!)
    }
    return picked
  }
}
