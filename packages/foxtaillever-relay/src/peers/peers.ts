/**
 * This instance among the others: beats once a second, tells at once what cannot
 * wait, and hears the rest. Nothing told here must last; it is told again with
 * the next beat or found out anew.
 */
import { hashNumber, type Cancellation, type Clock, type Random } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { PeerLink, type PeerLinkOptions, type ToldRecords } from './peerLink.js'
import { FleetUse } from './fleetUse.js'
import { LoadTalk } from './loadTalk.js'
import type { LeaseNews, PeerMessage, ServerUse, WeightsNews } from './peerMessage.js'
import { PeerTable } from './peerTable.js'
import type { ReadNotice } from './readNotice.js'
import { Rounds } from './rounds.js'
import { LimitOwners } from '../limits/limitOwners.js'
import type { ToldTopic } from './toldTopic.js'
import { MOST_IN_NOTICE } from './weightsNotice.js'

/**
 * Between two beats of a small fleet, milliseconds. They carry sums of load, for the
 * servers that are not asked for, and prompts wait at an engine for tens to hundreds
 * of milliseconds: told once a second, that load is over when it is heard.
 */
const LEAST_BEAT_MS = 200

/**
 * Datagrams that one instance sends in a millisecond. A beat has some 190 bytes with
 * its headers: 45 a second are 8.6 KB/s. With more receivers it beats less often,
 * once a second at least.
 */
const DATAGRAMS_PER_MS = 0.045

/** Between two beats of a large fleet, milliseconds. */
const MOST_BEAT_MS = 1000

/** Between two messages to everyone beside the beats, milliseconds. */
const LEAST_TELL_MS = 250

/** Part of a period that is drawn, so that instances started together do not send together. */
const BEAT_SPREAD = 0.2

/** In a fleet with more others, a large one, a beat goes to some of them. */
const MOST_RECEIVERS = 24

/** Others that hear one beat of a large fleet, a second: 230 bytes, sent and received, are 7.4 KB/s; load takes another 6 on most days. */
const LARGE_RECEIVERS = 16

/**
 * Engines with the newest weights that one beat of a large fleet names, drawn
 * anew for each, bytes 40: with 16 beats heard a second each of 42 is named to
 * everyone three times a second.
 */
const MOST_CURRENT = 8

/** Limits of servers that one beat of a large fleet tells, drawn anew for each, bytes 14; what begins or ends is told at once beside the beats. */
const MOST_LIMITS = 8

/** Others that hear what this one read, those of its failure domain first: with 60 bytes 1.4 times a second, 8 KB/s. */
const MOST_NOTIFIED = 96

/** What this instance says of itself at the moment. */
export type OwnWord = Omit<PeerMessage, 'name' | 'address' | 'failureDomain' | 'startedAt' | 'instances'>

export interface PeersOptions {
  readonly clock: Clock
  readonly random: Random
  readonly name: string
  readonly failureDomain: string
  readonly host: string
  readonly port: number
  readonly word: () => OwnWord
  readonly isLeaving: () => boolean
  /** Start of this process, milliseconds of Unix time. */
  readonly processStartedAt: number
  readonly lease: () => LeaseNews | undefined
  readonly tell: (topic: ToldTopic, from: number) => ToldRecords
  readonly onMessage: (message: PeerMessage) => void
  /** Load that this instance puts on each server now. */
  readonly ownUses: () => readonly ServerUse[]
  /** Whether the load of a server is asked for before a choice. */
  readonly isAskedFor: (server: number) => boolean
  /** Levels were saved of late by whomever. */
  readonly onSaved: (levels: readonly number[]) => void
  /** Several instances could not reach a server of late; by its hash. */
  readonly onUnreachable: (server: number) => void
  /** A server asked other instances for rest of late; by its hash. */
  readonly onResting: (server: number) => void
  /** An instance that keeps the load of servers does not answer. */
  readonly onPassedOver: (address: string) => void
  readonly onNotice: (notice: ReadNotice) => void
  readonly onWeights: PeerLinkOptions['onWeights']
  readonly onLeaseCall: PeerLinkOptions['onLeaseCall']
  readonly onLimit: PeerLinkOptions['onLimit']
}

export class Peers {
  readonly table = PeerTable.create()
  readonly use: FleetUse
  readonly link: PeerLink
  readonly loads: LoadTalk
  readonly address: string
  /** Who keeps the sum of a server's load, and looks at a store of cached levels. */
  readonly watchers = ComputedWatchers.create()
  /** Who decides on the quota of an account. */
  readonly limitOwners: LimitOwners
  private readonly startedAt: number
  private readonly rounds: Rounds
  /** As of the last beat, or of the last instance that came or left. */
  private likelyOthers: readonly PeerMessage[] = []
  private reckonedWith = 1
  private cancelBeat: Cancellation = () => {}
  private toldAt = 0
  private isTellDue = false
  private cancelTell: Cancellation = () => {}

  private constructor (private readonly options: PeersOptions) {
    const { clock, host, port, tell, onNotice, onWeights, onLeaseCall, onLimit, ownUses, isAskedFor, onSaved, onUnreachable, onResting, onPassedOver } = options
    this.address = `${host}:${port}`
    this.startedAt = clock.now()
    this.limitOwners = LimitOwners.create(this.options.processStartedAt)
    this.rounds = Rounds.create(options.random)
    this.use = FleetUse.create(clock)
    this.link = PeerLink.create({
      clock, host, port, tell, onNotice, onWeights, onLeaseCall, onLimit, onMessage: message => this.hear(message), onLoad: message => this.loads.hear(message)
    })
    this.loads = LoadTalk.create({
      clock, address: this.address, use: this.use, own: ownUses, isAskedFor, onSaved, onUnreachable, onResting, onPassedOver, send: (address, message) => this.link.sendLoad(address, message), watchersOf: server => this.watchers.of(server)
    })
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  async start (): Promise<void> {
    await this.link.open()
    this.beat()
  }

  async stop (): Promise<void> {
    this.cancelBeat()
    this.cancelTell()
    this.loads.stop()
    await this.link.close()
  }

  /** Addresses at which instances may be. */
  nameAll (addresses: readonly string[]): void {
    const now = this.options.clock.now()
    addresses.filter(address => address !== this.address).forEach(address => this.table.name(address, now))
    this.refresh()
    this.send()
  }

  /** An instance spoke that this one may not know yet. */
  meet (address: string): void {
    if (address !== this.address && !this.table.has(address)) {
      this.nameAll([address])
    }
  }

  /** Others that are alive. */
  alive (): PeerMessage[] {
    return this.table.alive(this.options.clock.now())
  }

  /** Others that are likely there, though few of their beats come here. */
  likely (): readonly PeerMessage[] {
    return this.likelyOthers
  }

  /** Instances to reckon with, this one included. */
  count (): number {
    return this.reckonedWith
  }

  /** Whether beats go to a part of the others only. */
  get isLarge (): boolean {
    return this.table.size > MOST_RECEIVERS
  }

  /** Tokens that the others have on their way from the store of cached levels. */
  tokensFrom (store: string): number {
    const hash = hashNumber(store)
    return this.isLarge ? this.use.sampledTokens(hash, this.table.size) : this.use.of(hash).tokens
  }

  /** Tells everyone now: a lease was taken, this instance leaves. */
  send (): void {
    this.link.send(this.receivers(), this.message())
  }

  /** Tells everyone in a moment what cannot wait for a beat, together with what comes until then. */
  tellSoon (): void {
    if (!this.isTellDue) {
      this.isTellDue = true
      const { clock } = this.options
      this.cancelTell = clock.at(Math.max(clock.now(), this.toldAt + LEAST_TELL_MS), () => {
        this.isTellDue = false
        this.toldAt = clock.now()
        this.send()
      })
    }
  }

  /** Tells everyone now which engines are about to change or have changed, and of the lease. */
  tellWeights (news: readonly WeightsNews[]): void {
    const receivers = this.receivers()
    const lease = this.options.lease()
    for (let from = 0; from === 0 || from < news.length; from += MOST_IN_NOTICE) {
      this.link.tellWeights(receivers, { lease, news: news.slice(from, from + MOST_IN_NOTICE) })
    }
  }

  /** Tells the others what was read. */
  notify (notice: Omit<ReadNotice, 'address'>): void {
    this.link.notify(this.notified(), { ...notice, address: this.address })
  }

  private beat (): void {
    const { clock, random } = this.options
    const now = clock.now()
    this.table.expire(now)
    this.refresh()
    const alive = new Set(this.alive().map(({ address }) => address))
    this.use.retain(address => alive.has(address))
    const receivers = this.isLarge ? this.rounds.next(this.receivers(), LARGE_RECEIVERS) : this.receivers()
    const beatMs = this.isLarge ? MOST_BEAT_MS : Math.min(MOST_BEAT_MS, Math.max(LEAST_BEAT_MS, receivers.length / DATAGRAMS_PER_MS))
    this.link.send(receivers, this.message(MOST_LIMITS))
    this.loads.follow()
    this.cancelBeat = clock.at(now + beatMs * (1 - BEAT_SPREAD * random.next()), () => this.beat())
  }

  /**
   * Gathers what depends on who is there. Asked for with every request and every
   * datagram, it is the same until somebody comes, leaves or falls silent.
   */
  private refresh (): void {
    const now = this.options.clock.now()
    this.likelyOthers = this.table.likely(now, this.isLarge ? LARGE_RECEIVERS : MOST_RECEIVERS)
    this.reckonedWith = this.table.count(now)
    this.watchers.setMembers([this.address, ...this.likelyOthers.map(({ address }) => address)])
    const lasting = this.table.lasting(now)
    this.limitOwners.setMembers(this.options.isLeaving() ? lasting : [this.address, ...lasting].sort(), this.table.knowsAll(now), now)
  }

  private receivers (): string[] {
    return this.table.all().map(({ address }) => address)
  }

  private notified (): string[] {
    const { failureDomain } = this.options
    const peers = this.table.all()
    if (peers.length <= MOST_NOTIFIED) {
      return peers.map(({ address }) => address)
    }
    const near = peers.filter(({ last }) => last?.failureDomain === failureDomain)
    const far = peers.filter(({ last }) => last?.failureDomain !== failureDomain)
    return [...near, ...far].slice(0, MOST_NOTIFIED).map(({ address }) => address)
  }

  private message (mostLimits = Infinity): PeerMessage {
    const { clock, name, failureDomain, word } = this.options
    return { name, address: this.address, failureDomain, startedAt: this.startedAt, instances: this.table.known(clock.now()), ...this.limit(word(), mostLimits) }
  }

  private limit (word: OwnWord, mostLimits: number): OwnWord {
    return this.isLarge ? { ...word, limits: this.draw(word.limits, mostLimits), current: word.current.map(news => ({ ...news, engines: this.draw(news.engines, MOST_CURRENT) })) } : word
  }

  private draw<T> (all: readonly T[], most: number): T[] {
    const drawn = [...all]
    while (drawn.length > most) {
      drawn.splice(this.options.random.below(drawn.length), 1)
    }
    return drawn
  }

  private hear (message: PeerMessage): void {
    const known = this.table.last(message.address)
    if (message.address !== this.address && this.table.hear(message, this.options.clock.now())) {
      this.reckonedWith = Math.max(this.reckonedWith, message.instances)
      if (known === undefined || known.isLeaving !== message.isLeaving) {
        this.refresh()
      }
      this.use.observe(message.address, message.uses)
      message.sums.forEach(({ server, ...load }) => this.use.learn(server, load))
      this.options.onMessage(message)
    }
  }
}
