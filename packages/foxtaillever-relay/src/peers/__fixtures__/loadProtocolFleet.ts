/** Instances that exchange load by datagrams in memory, which a test may block. */
import { hashNumber, type Cancellation } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { ordinarySpeed, type ObservedSpeed } from 'foxtaillever-policy/relay/serverSpeed'
import { VirtualClock } from 'foxtaillever-testing'
import { FleetLoad } from '../fleetLoad.js'
import { unpackDatagram } from '../datagram.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from '../loadMessage.js'
import type { LevelAtHome } from '../loadQueryClient.js'
import { LoadProtocol } from '../loadProtocol.js'
import type { ServerLoadEntry } from '../peerMessage.js'
import type { SpeedRegistry, WeightStepChange } from '../watchedSpeeds.js'

/** Transit time of a datagram, milliseconds. */
const LATENCY_MS = 1

/** Milliseconds between two heartbeats. */
const HEARTBEAT_MS = 1000

/** Bytes of the IP and UDP headers. */
const HEADER_BYTES = 28

export interface LoadPeer {
  readonly address: string
  readonly protocol: LoadProtocol
  readonly fleetLoad: FleetLoad
  /** Load that the instance puts on each server. */
  readonly ownLoads: Map<number, ServerLoadEntry>
  /** Servers reported to the instance as unreachable. */
  readonly unreachable: Set<number>
  readonly backingOff: Set<number>
  /** Levels reported to the instance as saved. */
  readonly saved: Set<number>
  /** Speeds of servers as the instance knows them. */
  readonly speeds: Map<number, ObservedSpeed>
  readonly weightSteps: WeightStepChange[]
  /** Bytes sent and received. */
  bytes: number
  /** Whether all datagrams to and from the instance are lost. */
  isCut: boolean
  cancelHeartbeat: Cancellation
}

export class LoadProtocolFleet {
  readonly clock = VirtualClock.create()
  readonly peers: LoadPeer[]
  private readonly watchers: ComputedWatchers[] = []
  /** Servers whose load is not queried. */
  readonly unqueried = new Set<number>()
  /** Speed of the service as all instances know it, tokens a millisecond. */
  readonly serviceTokensPerMs = 50
  isServiceSpeedKnown = true

  private constructor (size: number) {
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 4}.${index}:7340`)
    this.peers = addresses.map(address => this.createPeer(address, addresses.filter(other => other !== address)))
  }

  /** Starts a fleet and runs it until all instances answer queries. */
  static async start (size: number): Promise<LoadProtocolFleet> {
    const fleet = new LoadProtocolFleet(size)
    fleet.peers.forEach(peer => fleet.runHeartbeat(peer))
    await fleet.advance(1100)
    return fleet
  }

  setLoad (peer: LoadPeer, server: string, outstanding: number): void {
    this.change(peer, ownLoads => {
      if (outstanding === 0) {
        ownLoads.delete(hashNumber(server))
      } else {
        ownLoads.set(hashNumber(server), { server: hashNumber(server), outstanding, tokens: outstanding * 2890, heldTokens: outstanding * 9200 })
      }
    })
  }

  /** Changes the load that the instance puts on servers. */
  change ({ ownLoads, protocol }: LoadPeer, change: (ownLoads: Map<number, ServerLoadEntry>) => void): void {
    change(ownLoads)
    protocol.noteChange()
  }

  /** Suspends the instance's process. */
  suspend (peer: LoadPeer): void {
    peer.cancelHeartbeat()
    peer.protocol.stop()
    peer.isCut = true
  }

  /** All instances learn that one is gone. */
  removeMember (gone: LoadPeer): void {
    this.watchers.forEach(watchers => watchers.setMembers(this.peers.filter(peer => peer !== gone).map(({ address }) => address)))
  }

  resume (peer: LoadPeer): void {
    peer.isCut = false
    this.runHeartbeat(peer)
  }

  /** Queries a server and returns its outstanding requests as then known. */
  async query ({ protocol, fleetLoad }: LoadPeer, server: string, level?: LevelAtHome): Promise<number> {
    const waiting = new Set([server])
    const answered = protocol.query({ servers: [hashNumber(server)], level }).then(() => waiting.clear())
    while (waiting.size > 0) {
      await this.advance(1)
    }
    await answered
    return fleetLoad.of(hashNumber(server)).outstanding
  }

  async advance (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }

  stop (): void {
    this.peers.forEach(({ protocol, cancelHeartbeat }) => {
      cancelHeartbeat()
      protocol.stop()
    })
  }

  private runHeartbeat (peer: LoadPeer): void {
    peer.protocol.handleHeartbeat()
    peer.cancelHeartbeat = this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.runHeartbeat(peer))
  }

  private createPeer (address: string, others: readonly string[]): LoadPeer {
    const { clock } = this
    const fleetLoad = FleetLoad.create(clock)
    const ownLoads = new Map<number, ServerLoadEntry>()
    const unreachable = new Set<number>()
    const backingOff = new Set<number>()
    const saved = new Set<number>()
    const speeds = new Map<number, ObservedSpeed>()
    const weightSteps: WeightStepChange[] = []
    const registry: SpeedRegistry = { of: server => speeds.get(server) ?? ordinarySpeed, serviceTokensPerMs: () => this.isServiceSpeedKnown ? this.serviceTokensPerMs : undefined, record: (server, speed) => { speeds.set(server, speed) }, onWeightStep: change => { weightSteps.push(change) } }
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    this.watchers.push(watchers)
    const protocol = LoadProtocol.create({
      onRejectionReported: () => {},
      clock,
      address,
      fleetLoad,
      send: (to, message) => this.send(address, to, message),
      watchersOf: server => watchers.of(server),
      ownLoads: () => [...ownLoads.values()],
      isQueried: server => !this.unqueried.has(server),
      onSaved: levels => { levels.forEach(level => saved.add(level)) },
      onUnreachable: server => { unreachable.add(server) },
      onBackingOff: server => { backingOff.add(server) },
      speeds: registry,
      onUnresponsive: () => {},
      onReported: () => {},
      queuedTokens: () => 0
    })
    return { address, protocol, fleetLoad, ownLoads, unreachable, backingOff, saved, speeds, weightSteps, bytes: 0, isCut: false, cancelHeartbeat: () => {} }
  }

  private send (from: string, to: string, message: LoadMessage): void {
    const bytes = encodeLoadMessage(message)
    const sender = this.find(from)
    const receiver = this.find(to)
    sender.bytes += bytes.length + HEADER_BYTES
    if (!sender.isCut && !receiver.isCut) {
      receiver.bytes += bytes.length + HEADER_BYTES
      this.clock.at(this.clock.now() + LATENCY_MS, () => unpackDatagram(bytes).chain(readLoadMessage).ifJust(received => receiver.protocol.handleMessage(received)))
    }
  }

  private find (address: string): LoadPeer {
    const peer = this.peers.find(other => other.address === address)
    if (!peer) {
      throw new Error(`No instance at ${address}.`)
    }
    return peer
  }
}
