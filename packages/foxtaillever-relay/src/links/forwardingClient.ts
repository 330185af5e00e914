/**
 * Sends requests to backend servers through other instances while this instance's own
 * links to the servers are broken. The other instance only carries the request: the
 * choice of the server, limits, retries and the answer to the caller stay here.
 *
 * Load pattern: up to half of the fleet, or all of a failure domain, is cut off at
 * once and keeps its callers. Requests are spread over all instances with sound links,
 * since each can carry only a few more.
 */
import type { ClientRequest, IncomingHttpHeaders } from 'node:http'
import type { Clock, Random } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import type { PeerMessage } from '../peers/peerMessage.js'
import type { BodyExcess } from '../servers/byteBounds.js'
import { callServer } from '../servers/callServer.js'
import { onFinalAnswer } from '../servers/finalAnswer.js'
import type { KnownServer } from '../servers/knownServer.js'
import { ServerConnections, type ServerCall, type ServerChannel } from '../servers/serverConnections.js'
import { forwardingHeaders, PROBE_PATH, type ForwardedRequest } from './forwardingMessage.js'
import { ProbeFinding } from './peerProbes.js'

/** Connections to one other instance: more requests than it would carry for this one at the largest size. */
const CONNECTIONS: { readonly total: number, readonly idle: number } = { total: 64, idle: 8 }

/** An instance that could not send a request on is passed over for this long, milliseconds: as long as it may take to notice that it is cut off too. */
const PASSED_OVER_MS = 500

/** Longest finding of another instance's probe, bytes: one word. */
const MAX_FINDING_BYTES = 1024

export interface ForwardingClientOptions {
  readonly clock: Clock
  readonly random: Random
  /** Address of this instance. */
  readonly address: () => string
  /** Other instances that are probably alive. */
  readonly peers: () => readonly PeerMessage[]
  /** A body of another instance exceeded its bound. */
  readonly onExcess?: (address: string, excess: BodyExcess) => void
  /** A server answered through another instance; `sentAt` is when the request was sent, milliseconds of Unix time. */
  readonly onAnswer: (server: KnownServer, status: number, headers: IncomingHttpHeaders, sentAt: number) => void
}

/** An instance through which a server can be reached. */
export interface Forwarder {
  readonly address: string
  readonly channel: ServerChannel
}

export class ForwardingClient {
  private readonly connections = new Map<string, ServerConnections>()
  /** Requests in flight, by the instance that carries them. */
  private readonly inFlight = new Map<string, number>()
  /** Until when instances are passed over, milliseconds of Unix time. */
  private readonly passedOverUntil = new Map<string, number>()

  private constructor (private readonly options: ForwardingClientOptions) {}

  static create (options: ForwardingClientOptions): ForwardingClient {
    return new ForwardingClient(options)
  }

  /** Whether any instance may carry requests now. */
  get isAvailable (): boolean {
    return this.options.peers().some(peer => peer.links !== LinkState.Cut && !this.isPassedOver(peer))
  }

  /** Addresses of instances whose links are sound as far as is known, in random order. */
  soundPeers (): readonly string[] {
    const { random } = this.options
    return this.candidates().map(address => ({ address, order: random.next() })).sort((a, b) => a.order - b.order).map(({ address }) => address)
  }

  /**
   * Chooses the instance that carries a request, of two drawn the one with fewer requests of this instance.
   * @param tried instances that have failed to carry the request.
   */
  forwarderFor (server: KnownServer, request: ForwardedRequest, tried: ReadonlySet<string>): Forwarder | undefined {
    const { random } = this.options
    const candidates = this.candidates().filter(address => !tried.has(address))
    const drawn = [random, random].flatMap(source => candidates[source.below(Math.max(1, candidates.length))] ?? [])
    const [address] = drawn.sort((a, b) => this.inFlightAt(a) - this.inFlightAt(b))
    return address === undefined ? undefined : { address, channel: this.createChannel(address, server, request) }
  }

  /** Records that the instance could not send a request on. */
  recordFailure (address: string): void {
    this.passedOverUntil.set(address, this.options.clock.now() + PASSED_OVER_MS)
  }

  /** Asks the instance to probe a server; never rejects. */
  async probe (address: string, { hash }: KnownServer, deadline: number): Promise<ProbeFinding> {
    const call = { method: 'GET', path: `${PROBE_PATH}?server=${hash}`, headers: ['Host', 'peer'], body: Buffer.alloc(0) }
    const answer = await callServer(this.connectionsTo(address), call, { clock: this.options.clock, deadline, maxBytes: MAX_FINDING_BYTES })
    const text = answer.map(({ status, body }) => status === 200 ? body.toString() : '').orDefault('')
    return Object.values(ProbeFinding).find(finding => finding === text) ?? ProbeFinding.Unknown
  }

  close (): void {
    this.connections.forEach(connections => connections.close())
  }

  private createChannel (address: string, server: KnownServer, request: ForwardedRequest): ServerChannel {
    return {
      send: (call, onBeforeSend) => this.send(address, server, request, call, onBeforeSend),
      closeIdleFor: () => {},
      recordExcess: excess => this.connectionsTo(address).recordExcess(excess)
    }
  }

  private send (address: string, server: KnownServer, forwarded: ForwardedRequest, call: ServerCall, onBeforeSend: () => void): ClientRequest {
    const { clock, onAnswer } = this.options
    const sentAt = clock.now()
    const headers = [...call.headers, ...forwardingHeaders({ ...forwarded, server: server.hash, from: this.options.address() })]
    const request = this.connectionsTo(address).send({ ...call, headers }, onBeforeSend)
    this.inFlight.set(address, this.inFlightAt(address) + 1)
    request.once('close', () => this.inFlight.set(address, this.inFlightAt(address) - 1))
    onFinalAnswer(request, ({ statusCode = 0, headers }) => onAnswer(server, statusCode, headers, sentAt))
    return request
  }

  private inFlightAt (address: string): number {
    return this.inFlight.get(address) ?? 0
  }

  /** Instances with sound links; only where there is none, those that reach a part of the servers. */
  private candidates (): readonly string[] {
    const peers = this.options.peers().filter(peer => !this.isPassedOver(peer))
    const sound = peers.filter(({ links }) => links === LinkState.Sound)
    return (sound.length > 0 ? sound : peers.filter(({ links }) => links === LinkState.Partial)).map(({ address }) => address)
  }

  private isPassedOver ({ address }: PeerMessage): boolean {
    return (this.passedOverUntil.get(address) ?? 0) > this.options.clock.now()
  }

  private connectionsTo (address: string): ServerConnections {
    let connections = this.connections.get(address)
    if (!connections) {
      const { clock, address: own, onExcess = () => {} } = this.options
      connections = ServerConnections.create({
        address,
        part: CONNECTIONS,
        now: () => clock.now(),
        localHost: own().split(':')[0],
        onExcess: excess => {
          this.recordFailure(address)
          onExcess(address, excess)
        }
      })
      this.connections.set(address, connections)
    }
    return connections
  }
}
