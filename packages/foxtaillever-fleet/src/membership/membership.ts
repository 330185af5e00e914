/**
 * What one instance knows of the members, and how it takes in what others say.
 */
import type { Clock, Random } from 'foxtaillever-core'
import { ContactTable } from './contactTable.js'
import { isLive, MemberState, type Member, type MemberEntry } from './member.js'
import { MemberTable } from './memberTable.js'
import { entryBytes, LARGEST_PAYLOAD_BYTES, type Message } from './message.js'
import type { Messenger } from './messenger.js'
import { Rumours } from './rumours.js'
import type { Self } from './self.js'

/** Room for the fixed part of a message, bytes. */
const FIXED_PART_BYTES = 250

/** Bytes of news that one message may carry. */
const MESSAGE_NEWS_BYTES = LARGEST_PAYLOAD_BYTES - FIXED_PART_BYTES

/** Bytes of news that all messages of one tick may carry: 3 KB/s of the 14, as much again received. */
const TICK_NEWS_BYTES = 1500

export class Membership {
  readonly contacts = ContactTable.create()
  readonly rumours = Rumours.create()
  private newsBytesLeft = TICK_NEWS_BYTES

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

  /** Members that are alive without this instance. */
  others (): readonly Member[] {
    return this.table.alive().filter(member => member.name !== this.name())
  }

  /** Takes in what a message says of its sender and of others. */
  receive (message: Message): void {
    message.entries.forEach(entry => this.learn(entry, true))
    this.contacts.hear(message.sender, message.incarnation, message.position, this.clock.now())
  }

  /**
   * Takes in one entry.
   * @param tell whether news is passed on; not for whole tables, which everyone compares anyway.
   */
  learn (entry: MemberEntry, tell: boolean): void {
    if (entry.name === this.name()) {
      if (this.self.answer(entry)) {
        this.announce()
      }
      return
    }
    if (this.table.merge(entry, this.clock.now()) && tell) {
      this.rumours.add(entry, this.table.alive().length)
    }
  }

  /** Tells the others of this instance's own entry. */
  announce (): void {
    this.table.replace(this.self.entry(), this.clock.now())
    this.rumours.add(this.self.entry(), this.table.alive().length)
  }

  suspect (name: string): void {
    const member = this.table.get(name)
    if (member !== undefined && isLive(member)) {
      this.learn({ ...member, state: MemberState.Suspect }, true)
    }
  }

  /**
   * Entries to put into any message: this instance itself, and what the receiver
   * is called here, wrongly or rightly, so that it can answer.
   */
  greetingFor (receiver: string | undefined): readonly MemberEntry[] {
    const known = receiver === undefined ? undefined : this.table.get(receiver)
    const called = known === undefined || isLive(known) ? [] : [known]
    return [this.self.entry(), ...called]
  }

  /** The greeting and news, as much as the tick has left. */
  newsFor (receiver: string): readonly MemberEntry[] {
    const news = this.rumours.take(Math.min(MESSAGE_NEWS_BYTES, this.newsBytesLeft))
    this.newsBytesLeft -= news.reduce((sum, entry) => sum + entryBytes(entry), 0)
    return [...this.greetingFor(receiver), ...news]
  }

  /** Run each tick. */
  tick (): void {
    this.newsBytesLeft = TICK_NEWS_BYTES
    const now = this.clock.now()
    this.table.expire(now).forEach(entry => this.rumours.add(entry, this.table.alive().length))
    this.contacts.retain(name => this.table.get(name) !== undefined)
  }

  /** Some members at random, each at most once. */
  pick<Entry> (entries: readonly Entry[], count: number): readonly Entry[] {
    const left = [...entries]
    const picked: Entry[] = []
    while (picked.length < count && left.length > 0) {
      const [entry] = left.splice(this.random.below(left.length), 1)
      picked.push(entry!)
    }
    return picked
  }
}
