/** Instances that tell each other of load, over datagrams in memory that a test may cut. */
import { hashNumber } from 'foxtaillever-core'
import { VirtualClock } from 'foxtaillever-testing'
import { FleetUse } from '../fleetUse.js'
import { decodeLoadMessage, encodeLoadMessage, type LoadMessage } from '../loadMessage.js'
import { LoadTalk } from '../loadTalk.js'
import type { ServerUse } from '../peerMessage.js'

/** A datagram's way, milliseconds. */
const WAY_MS = 1

/** IP and UDP headers, bytes. */
const HEADERS = 28

export interface Talker {
  readonly address: string
  readonly talk: LoadTalk
  readonly use: FleetUse
  /** Load that it puts on each server. */
  readonly own: Map<number, ServerUse>
  /** Sent and received. */
  bytes: number
  /** Nothing goes in or out. */
  isCut: boolean
}

export class TalkFleet {
  readonly clock = VirtualClock.create()
  readonly talkers: Talker[]

  private constructor (size: number) {
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 4}.${index}:7340`)
    this.talkers = addresses.map(address => this.createTalker(address, addresses.filter(other => other !== address)))
  }

  /** Has run for long enough that all of them answer. */
  static async start (size: number): Promise<TalkFleet> {
    const fleet = new TalkFleet(size)
    fleet.talkers.forEach(({ talk }) => talk.follow())
    await fleet.pass(1100)
    return fleet
  }

  put ({ own }: Talker, server: string, outstanding: number): void {
    if (outstanding === 0) {
      own.delete(hashNumber(server))
    } else {
      own.set(hashNumber(server), { server: hashNumber(server), outstanding, tokens: outstanding * 2890, heldTokens: outstanding * 9200 })
    }
  }

  /** Asks and returns what was learned. */
  async ask ({ talk, use }: Talker, server: string): Promise<number> {
    const waiting = new Set([server])
    const asked = talk.ask([hashNumber(server)]).then(() => waiting.clear())
    while (waiting.size > 0) {
      await this.pass(1)
    }
    await asked
    return use.of(hashNumber(server)).outstanding
  }

  async pass (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }

  stop (): void {
    this.talkers.forEach(({ talk }) => talk.stop())
  }

  private createTalker (address: string, others: readonly string[]): Talker {
    const { clock } = this
    const use = FleetUse.create(clock)
    const own = new Map<number, ServerUse>()
    const talk = LoadTalk.create({
      clock, address, use, send: (to, message) => this.send(address, to, message), others: () => others, own: () => [...own.values()], onPassedOver: () => {}
    })
    return { address, talk, use, own, bytes: 0, isCut: false }
  }

  private send (from: string, to: string, message: LoadMessage): void {
    const bytes = encodeLoadMessage(message)
    const sender = this.find(from)
    const receiver = this.find(to)
    sender.bytes += bytes.length + HEADERS
    if (!sender.isCut && !receiver.isCut) {
      receiver.bytes += bytes.length + HEADERS
      this.clock.at(this.clock.now() + WAY_MS, () => decodeLoadMessage(bytes).ifJust(heard => receiver.talk.hear(heard)))
    }
  }

  private find (address: string): Talker {
    const talker = this.talkers.find(other => other.address === address)
    if (!talker) {
      throw new Error(`Nobody is at ${address}.`)
    }
    return talker
  }
}
