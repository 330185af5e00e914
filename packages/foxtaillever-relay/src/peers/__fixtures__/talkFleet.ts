/** Instances that tell each other of load, over datagrams in memory that a test may cut. */
import { hashNumber, type Cancellation } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { VirtualClock } from 'foxtaillever-testing'
import { FleetUse } from '../fleetUse.js'
import { unpackDatagram } from '../datagram.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from '../loadMessage.js'
import type { LevelAtHome } from '../loadQuestions.js'
import { LoadTalk } from '../loadTalk.js'
import type { ServerUse } from '../peerMessage.js'

/** A datagram's way, milliseconds. */
const WAY_MS = 1

/** Between two beats, milliseconds. */
const BEAT_MS = 1000

/** IP and UDP headers, bytes. */
const HEADERS = 28

export interface Talker {
  readonly address: string
  readonly talk: LoadTalk
  readonly use: FleetUse
  /** Load that it puts on each server. */
  readonly own: Map<number, ServerUse>
  /** Servers that it was told cannot be reached. */
  readonly unreachable: Set<number>
  readonly resting: Set<number>
  /** Levels that it was told were saved. */
  readonly saved: Set<number>
  /** Sent and received. */
  bytes: number
  /** Nothing goes in or out. */
  isCut: boolean
  cancelBeat: Cancellation
}

export class TalkFleet {
  readonly clock = VirtualClock.create()
  readonly talkers: Talker[]
  /** Servers whose load nobody asks for. */
  readonly unasked = new Set<number>()

  private constructor (size: number) {
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 4}.${index}:7340`)
    this.talkers = addresses.map(address => this.createTalker(address, addresses.filter(other => other !== address)))
  }

  /** Has run for long enough that all of them answer. */
  static async start (size: number): Promise<TalkFleet> {
    const fleet = new TalkFleet(size)
    fleet.talkers.forEach(talker => fleet.beat(talker))
    await fleet.pass(1100)
    return fleet
  }

  put (talker: Talker, server: string, outstanding: number): void {
    this.change(talker, own => {
      if (outstanding === 0) {
        own.delete(hashNumber(server))
      } else {
        own.set(hashNumber(server), { server: hashNumber(server), outstanding, tokens: outstanding * 2890, heldTokens: outstanding * 9200 })
      }
    })
  }

  /** Changes what it puts on servers. */
  change ({ own, talk }: Talker, change: (own: Map<number, ServerUse>) => void): void {
    change(own)
    talk.noteChange()
  }

  /** Its process stands still. */
  freeze (talker: Talker): void {
    talker.cancelBeat()
    talker.talk.stop()
    talker.isCut = true
  }

  thaw (talker: Talker): void {
    talker.isCut = false
    this.beat(talker)
  }

  /** Asks and returns what was learned. */
  async ask ({ talk, use }: Talker, server: string, level?: LevelAtHome): Promise<number> {
    const waiting = new Set([server])
    const asked = talk.ask({ servers: [hashNumber(server)], level }).then(() => waiting.clear())
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
    this.talkers.forEach(({ talk, cancelBeat }) => {
      cancelBeat()
      talk.stop()
    })
  }

  private beat (talker: Talker): void {
    talker.talk.follow()
    talker.cancelBeat = this.clock.at(this.clock.now() + BEAT_MS, () => this.beat(talker))
  }

  private createTalker (address: string, others: readonly string[]): Talker {
    const { clock } = this
    const use = FleetUse.create(clock)
    const own = new Map<number, ServerUse>()
    const unreachable = new Set<number>()
    const resting = new Set<number>()
    const saved = new Set<number>()
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    const talk = LoadTalk.create({
      clock, address, use, send: (to, message) => this.send(address, to, message), watchersOf: server => watchers.of(server), own: () => [...own.values()], isAskedFor: server => !this.unasked.has(server), onSaved: levels => { levels.forEach(level => saved.add(level)) }, onUnreachable: server => { unreachable.add(server) }, onResting: server => { resting.add(server) }, onPassedOver: () => {}
    })
    return { address, talk, use, own, unreachable, resting, saved, bytes: 0, isCut: false, cancelBeat: () => {} }
  }

  private send (from: string, to: string, message: LoadMessage): void {
    const bytes = encodeLoadMessage(message)
    const sender = this.find(from)
    const receiver = this.find(to)
    sender.bytes += bytes.length + HEADERS
    if (!sender.isCut && !receiver.isCut) {
      receiver.bytes += bytes.length + HEADERS
      this.clock.at(this.clock.now() + WAY_MS, () => unpackDatagram(bytes).chain(readLoadMessage).ifJust(heard => receiver.talk.hear(heard)))
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
