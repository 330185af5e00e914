/**
 * This instance among the others: beats once a second, tells at once what cannot
 * wait, and hears the rest. Nothing told here must last; it is told again with
 * the next beat or found out anew.
 */
import type { Cancellation, Clock, Random } from 'foxtaillever-core'
import { PeerLink, type ToldRecords } from './peerLink.js'
import { FleetUse } from './fleetUse.js'
import type { PeerMessage, WeightsNews } from './peerMessage.js'
import { PeerTable } from './peerTable.js'
import type { ReadNotice } from './readNotice.js'
import type { ToldTopic } from './toldTopic.js'

/**
 * Between two beats of a small fleet, milliseconds. Prompts wait at an engine
 * for tens to hundreds of milliseconds: told once a second, that load is over
 * when it is heard, and placing by it is worse than not knowing it.
 */
const LEAST_BEAT_MS = 200

/**
 * Datagrams that one instance sends in a millisecond. A beat that names nine
 * servers has 306 bytes with its headers: 50 a second are 15.3 KB/s. With more
 * receivers it beats less often, once a second at least.
 */
const DATAGRAMS_PER_MS = 0.045

/** Between two beats of a large fleet, milliseconds. */
const MOST_BEAT_MS = 1000

/** Part of a period that is drawn, so that instances started together do not send together. */
const BEAT_SPREAD = 0.2

/** Others that hear one beat: with more, each hears a random part of the fleet every second, within 15 KB/s at 380. */
const MOST_RECEIVERS = 24

/** Others that hear what this one read, those of its failure domain first: with 60 bytes 1.4 times a second, 8 KB/s. */
const MOST_NOTIFIED = 96

/** What this instance says of itself at the moment. */
export type OwnWord = Omit<PeerMessage, 'name' | 'address' | 'failureDomain' | 'startedAt' | 'weights' | 'instances'>

export interface PeersOptions {
  readonly clock: Clock
  readonly random: Random
  readonly name: string
  readonly failureDomain: string
  readonly host: string
  readonly port: number
  readonly word: () => OwnWord
  readonly tell: (topic: ToldTopic, from: number) => ToldRecords
  readonly onMessage: (message: PeerMessage) => void
  readonly onNotice: (notice: ReadNotice) => void
}

export class Peers {
  readonly table = PeerTable.create()
  readonly use = FleetUse.create()
  readonly link: PeerLink
  readonly address: string
  private readonly startedAt: number
  private cancelBeat: Cancellation = () => {}

  private constructor (private readonly options: PeersOptions) {
    const { clock, host, port, tell, onNotice } = options
    this.address = `${host}:${port}`
    this.startedAt = clock.now()
    this.link = PeerLink.create({ clock, host, port, tell, onMessage: message => this.hear(message), onNotice })
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
    await this.link.close()
  }

  /** Addresses at which instances may be. */
  nameAll (addresses: readonly string[]): void {
    const now = this.options.clock.now()
    addresses.filter(address => address !== this.address).forEach(address => this.table.name(address, now))
    this.send([])
  }

  /** Others that are alive. */
  alive (): PeerMessage[] {
    return this.table.alive(this.options.clock.now())
  }

  /** Others that are likely there, though few of their beats come here. */
  likely (): PeerMessage[] {
    return this.table.likely(this.options.clock.now(), MOST_RECEIVERS)
  }

  /** Instances to reckon with, this one included. */
  count (): number {
    return this.table.count(this.options.clock.now())
  }

  /** Tells everyone now: an engine is about to change, a drain was learned. */
  send (weights: readonly WeightsNews[]): void {
    this.link.send(this.receivers(Infinity), this.message(weights))
  }

  /** Tells the others what was read. */
  notify (notice: Omit<ReadNotice, 'address'>): void {
    this.link.notify(this.notified(), { ...notice, address: this.address })
  }

  private beat (): void {
    const { clock, random } = this.options
    const now = clock.now()
    this.table.expire(now)
    const alive = new Set(this.alive().map(({ address }) => address))
    this.use.retain(address => alive.has(address))
    const receivers = this.receivers(MOST_RECEIVERS)
    const beatMs = Math.min(MOST_BEAT_MS, Math.max(LEAST_BEAT_MS, receivers.length / DATAGRAMS_PER_MS))
    this.link.send(receivers, this.message([]))
    this.cancelBeat = clock.at(now + beatMs * (1 - BEAT_SPREAD * random.next()), () => this.beat())
  }

  private receivers (most: number): string[] {
    const addresses = this.table.all().map(({ address }) => address)
    while (addresses.length > most) {
      addresses.splice(this.options.random.below(addresses.length), 1)
    }
    return addresses
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

  private message (weights: readonly WeightsNews[]): PeerMessage {
    const { clock, name, failureDomain, word } = this.options
    return { name, address: this.address, failureDomain, startedAt: this.startedAt, weights, instances: this.table.known(clock.now()), ...word() }
  }

  private hear (message: PeerMessage): void {
    if (message.address !== this.address && this.table.hear(message, this.options.clock.now())) {
      this.use.observe(message.address, message.uses)
      this.options.onMessage(message)
    }
  }
}
