/**
 * Instances and backend servers under a virtual clock. Instances exchange load and
 * admissions by datagrams that may be lost, doubled or delayed; they may be down,
 * suspended or cut off.
 */
import { SeededRandom, type Clock, type Random } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { unpackDatagram } from '../../peers/datagram.js'
import { FleetLoad } from '../../peers/fleetLoad.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from '../../peers/loadMessage.js'
import { LoadProtocol } from '../../peers/loadProtocol.js'
import type { ServerLoadEntry } from '../../peers/peerMessage.js'
import { AdmissionOutcome, encodeAdmissionMessage, readAdmissionMessage, type AdmissionMessage } from '../admissionMessage.js'
import { AdmissionProtocol, type AdmissionResult, type PendingAdmission } from '../admissionProtocol.js'
import { createProcessClock, type SimulatedProcess } from './processClock.js'
import { capacity, SimulatedServer } from './simulatedServer.js'

const HEARTBEAT_MS = 1000
const MAX_TRANSIT_MS = 2

/** Difference between the clocks of two instances, milliseconds: a time of one that another takes for its own is far off. */
const CLOCK_STEP_MS = 100_000

/** Size of the IP and UDP headers, bytes. */
export const HEADER_BYTES = 28

export type FleetServer = SimulatedServer<FleetRequest>

export interface FleetRequest {
  readonly node: FleetNode
  /** Of the instance, when the request arrived. */
  readonly generation: number
  readonly tokens: number
  readonly heldTokens: number
  readonly priority: number
  readonly account: string
  readonly objectiveMs: number
  readonly arrivedAt: number
  readonly latestStartAt: number
  server: FleetServer
  pending: PendingAdmission | undefined
  readonly results: AdmissionResult[]
  /** Final result. */
  result: AdmissionResult | undefined
  decidedAt: number
  /** How often it was sent to a server. */
  sent: number
  isUnread: boolean
}

export type RequestTraits = Partial<Pick<FleetRequest, 'tokens' | 'heldTokens' | 'priority' | 'account' | 'objectiveMs'>> & { readonly startInMs?: number }

export interface FleetNode extends SimulatedProcess {
  readonly address: string
  generation: number
  isDown: boolean
  isFrozen: boolean
  /** Partition; instances reach only those on the same side. */
  side: number
  readonly watchers: ComputedWatchers
  /** Addresses of the members that it knows. */
  members: Set<string>
  load: LoadProtocol
  fleetLoad: FleetLoad
  admission: AdmissionProtocol
  /** Requests that it has at servers. */
  readonly open: Set<FleetRequest>
}

export class AdmissionFleet {
  readonly clock = VirtualClock.create()
  readonly nodes: FleetNode[] = []
  readonly servers: FleetServer[]
  readonly requests: FleetRequest[] = []
  /** From its first event to its end a request occupies a slot and memory, milliseconds. */
  runMs = 250
  readonly faults = { lost: 0, doubled: 0 }
  /** Returns whether a message is lost. */
  isLost: (from: FleetNode, to: string, message: AdmissionMessage) => boolean = () => false
  onSend: (from: FleetNode, to: string, message: AdmissionMessage) => void = () => {}
  onReceive: (to: FleetNode, message: AdmissionMessage) => void = () => {}
  onQueue: (request: FleetRequest) => void = request => request.pending?.renew(result => this.handleResult(request, result))
  onArrival: (request: FleetRequest) => void = () => {}
  readonly random: Random

  private constructor (servers: number, seed: number) {
    this.random = SeededRandom.create(seed)
    this.servers = Array.from({ length: servers }, (_, index) => SimulatedServer.create<FleetRequest>({
      clock: this.clock, name: `engine-${index}`, runMs: () => this.runMs, onRead: request => this.handleRead(request), onEnd: request => this.end(request)
    }))
  }

  /** Starts the instances and runs until all answer. */
  static async start (size: number, { servers = 1, seed = 1 } = {}): Promise<AdmissionFleet> {
    const fleet = new AdmissionFleet(servers, seed)
    const addresses = Array.from({ length: size }, (_, index) => `10.1.${index % 3}.${index}:7340`)
    addresses.forEach((address, index) => {
      const node = { address, clockOffsetMs: index * CLOCK_STEP_MS, generation: 0, isDown: false, isFrozen: false, side: 0, members: new Set(addresses), watchers: ComputedWatchers.create(), open: new Set(), inbox: [] } as unknown as FleetNode
      fleet.nodes.push(node)
      node.watchers.setMembers(addresses)
      fleet.boot(node)
    })
    await fleet.pass(1100)
    return fleet
  }

  async pass (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }

  /** The server's owner and standby, as most instances see them. */
  watchersOf (server: FleetServer, viewer = this.nodes[0] as FleetNode): FleetNode[] {
    return viewer.watchers.of(server.hash).map(address => this.nodeAt(address))
  }

  /** An instance that decides nothing about the server. */
  requesterFor (server: FleetServer, index = 0): FleetNode {
    return this.nodes.filter(node => !this.watchersOf(server).includes(node))[index] as FleetNode
  }

  nodeAt (address: string): FleetNode {
    return this.nodes.find(node => node.address === address) as FleetNode
  }

  /** Sends a request of a caller through the instance. */
  request (node: FleetNode, server: FleetServer, traits: RequestTraits = {}): FleetRequest {
    const now = this.clock.now()
    const { startInMs = 2000, ...given } = traits
    const request: FleetRequest = {
      node, generation: node.generation, tokens: 9190, heldTokens: 9190, priority: 3, account: 'acme', objectiveMs: 60_000, arrivedAt: now, latestStartAt: now + startInMs, server, pending: undefined, results: [], result: undefined, decidedAt: 0, sent: 0, isUnread: true, ...given
    }
    this.requests.push(request)
    this.ask(request)
    return request
  }

  ask (request: FleetRequest): void {
    const { node, server: { hash }, tokens, heldTokens, priority, account, objectiveMs, arrivedAt, latestStartAt } = request
    const claim = { server: hash, tokens, heldTokens, priority, account, fingerprint: this.requests.indexOf(request), arrivedAt: arrivedAt + node.clockOffsetMs, objectiveMs, latestStartAt: latestStartAt + node.clockOffsetMs, isBrittle: false }
    request.pending = node.admission.request(claim, result => this.handleResult(request, result))
  }

  /** Sends a request to its server. */
  send (request: FleetRequest): void {
    const { node, server } = request
    request.sent += 1
    node.open.add(request)
    node.load.noteChange()
    this.clock.at(this.clock.now() + 1, () => {
      if (node.open.has(request)) {
        server.accept(request)
        this.onArrival(request)
      }
    })
  }

  handleResult (request: FleetRequest, ownResult: AdmissionResult): void {
    const result = { ...ownResult, retryAt: ownResult.retryAt - request.node.clockOffsetMs }
    request.results.push(result)
    if (result.outcome === AdmissionOutcome.Queued) {
      this.onQueue(request)
      return
    }
    request.result = result
    request.decidedAt = this.clock.now()
    if (result.outcome !== AdmissionOutcome.Rejected) {
      this.send(request)
    }
  }

  /** The process ends; servers notice that its connections close. */
  kill (node: FleetNode): void {
    this.stop(node)
    node.isDown = true
    node.generation += 1
    node.inbox.length = 0
    node.open.forEach(request => this.end(request))
  }

  /** The process starts without state. */
  boot (node: FleetNode): void {
    const clock = createProcessClock(this.clock, node)
    const { address, watchers } = node
    const fleetLoad = FleetLoad.create(clock)
    const watchersOf = (server: number): readonly string[] => watchers.of(server)
    const load = LoadProtocol.create({
      onRejectionReported: () => {},
      clock,
      address,
      fleetLoad,
      send: (to, message) => this.transmit(node, to, encodeLoadMessage(message)),
      watchersOf,
      ownLoads: () => this.ownLoads(node),
      isQueried: () => true,
      onSaved: () => {},
      onUnreachable: () => {},
      onBackingOff: () => {},
      speeds: { of: () => undefined, serviceTokensPerMs: () => undefined, record: () => {}, onWeightStep: () => {} },
      onUnresponsive: () => {},
      onReported: (server, reporter, added) => admission.recordLoad(server, reporter, added),
      queuedTokens: (server, priority, account) => admission.queuedTokens(server, priority, account)
    })
    const admission = AdmissionProtocol.create({
      clock,
      address,
      watchersOf,
      isComplete: () => load.isComplete,
      roomOf: server => this.servers.some(({ hash, isReady }) => hash === server && isReady) ? { ...capacity, isBrittle: false } : undefined,
      loadOf: server => load.watchedLoad(server),
      send: (to, message) => this.sendAdmission(node, to, message),
      onDecided: () => {},
      onUnresponsive: () => {}
    })
    Object.assign(node, { load, fleetLoad, admission, isDown: false, isFrozen: false })
    this.runHeartbeat(node, clock)
  }

  /** The suspended process runs again: overdue timers and waiting datagrams are handled at once. */
  thaw (node: FleetNode): void {
    node.isFrozen = false
    node.inbox.splice(0).forEach(task => task())
  }

  stopAll (): void {
    this.nodes.forEach(node => this.stop(node))
  }

  end (request: FleetRequest): void {
    const { node, server } = request
    server.remove(request)
    node.open.delete(request)
    if (!node.isDown) {
      node.load.noteChange()
    }
  }

  private handleRead (request: FleetRequest): void {
    request.isUnread = false
    if (!request.node.isDown) {
      request.node.load.noteChange()
    }
  }

  private stop ({ load, admission }: FleetNode): void {
    load.stop()
    admission.stop()
  }

  private runHeartbeat (node: FleetNode, clock: Clock): void {
    node.load.handleHeartbeat()
    clock.at(clock.now() + HEARTBEAT_MS, () => this.runHeartbeat(node, clock))
  }

  private ownLoads (node: FleetNode): ServerLoadEntry[] {
    return this.servers.map(server => {
      const requests = [...node.open].filter(request => request.server === server)
      const unread = requests.filter(({ isUnread }) => isUnread)
      return { server: server.hash, outstanding: requests.length, tokens: unread.reduce((sum, { tokens }) => sum + tokens, 0), heldTokens: requests.reduce((sum, { heldTokens }) => sum + heldTokens, 0) }
    }).filter(({ outstanding }) => outstanding > 0)
  }

  private sendAdmission (from: FleetNode, to: string, message: AdmissionMessage): void {
    this.onSend(from, to, message)
    if (!this.isLost(from, to, message)) {
      this.transmit(from, to, encodeAdmissionMessage(message))
    }
  }

  private transmit (from: FleetNode, to: string, bytes: Buffer): void {
    const receiver = this.nodeAt(to)
    const copies = receiver.side !== from.side || this.random.next() < this.faults.lost ? 0 : this.random.next() < this.faults.doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.clock.at(this.clock.now() + 0.1 + this.random.next() * MAX_TRANSIT_MS, () => this.deliver(receiver, bytes))
    }
  }

  private deliver (node: FleetNode, bytes: Buffer): void {
    if (node.isDown) {
      return
    }
    if (node.isFrozen) {
      node.inbox.push(() => this.deliver(node, bytes))
      return
    }
    unpackDatagram(bytes).ifJust(wire => {
      readAdmissionMessage(wire).ifJust(message => {
        this.onReceive(node, message)
        node.admission.receive(message)
      })
      readLoadMessage(wire).ifJust((message: LoadMessage) => node.load.handleMessage(message))
    })
  }
}
