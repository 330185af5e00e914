/**
 * Datagrams and calls between instances. Datagrams tell what changes by the
 * second and may be lost; a call brings the records that an instance lacks while
 * the platform's store does not answer it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { UdpDatagrams } from 'foxtaillever-fleet/membership/datagrams'
import { Either, Left, Right } from 'purify-ts'
import type { KeyedRecord } from '../knowledge/keyedLog.js'
import { callServer } from '../servers/callServer.js'
import { ServerConnections } from '../servers/serverConnections.js'
import { DatagramKind, unpackDatagram } from './datagram.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from './loadMessage.js'
import { encodeLimitMessage, readLimitMessage, type LimitMessage } from '../limits/limitMessage.js'
import { encodePeerMessage, readPeerMessage, type PeerMessage } from './peerMessage.js'
import { encodeReadNotice, readReadNotice, type ReadNotice } from './readNotice.js'
import type { FenceLog } from '../weights/fenceLog.js'
import { LEASE_PATH, logThrough } from './leaseCalls.js'
import { ToldTopic } from './toldTopic.js'
import { encodeWeightsNotice, readWeightsNotice, type WeightsNotice } from './weightsNotice.js'

/** Records from an offset on, and up to where the teller knows the topic. */
export interface ToldRecords {
  readonly records: readonly KeyedRecord[]
  readonly position: number
  /** All keys that there are; undefined where the records name every removal. */
  readonly keys: readonly string[] | undefined
}

interface WireRecords {
  readonly keys?: readonly string[]
  readonly position: number
  readonly records: ReadonlyArray<{ readonly key: string, readonly value: string | null, readonly offset: number }>
}

/** Another instance answers from memory, milliseconds. */
const ANSWER_MS = 600

export interface PeerLinkOptions {
  readonly clock: Clock
  /** IP number and port, for datagrams and for calls. */
  readonly host: string
  readonly port: number
  readonly onMessage: (message: PeerMessage) => void
  readonly onNotice: (notice: ReadNotice) => void
  readonly onLoad: (message: LoadMessage) => void
  readonly onWeights: (notice: WeightsNotice) => void
  readonly onLimit: (message: LimitMessage) => void
  /** What this instance knows of a topic from an offset on. */
  readonly tell: (topic: ToldTopic, from: number) => ToldRecords
  /** Another instance asks for a call at the lease's log. */
  readonly onLeaseCall: (request: IncomingMessage, search: URLSearchParams, response: ServerResponse) => void
}

/** Takes in one kind of datagram. */
type Receiver = (wire: readonly unknown[]) => void

export class PeerLink {
  private readonly datagrams: UdpDatagrams
  private readonly server: Server
  private readonly connections = new Map<string, ServerConnections>()
  private readonly receivers: Readonly<Record<DatagramKind, Receiver | undefined>>
  private readonly receiveBeat: Receiver

  private constructor (private readonly options: PeerLinkOptions) {
    const { onMessage, onNotice, onLoad, onWeights, onLimit } = options
    const receiveLoad: Receiver = wire => { readLoadMessage(wire).ifJust(onLoad) }
    const receiveLimit: Receiver = wire => { readLimitMessage(wire).ifJust(onLimit) }
    this.receiveBeat = wire => { readPeerMessage(wire).ifJust(onMessage) }
    this.receivers = {
      [DatagramKind.LoadWord]: receiveLoad,
      [DatagramKind.LoadQuestion]: receiveLoad,
      [DatagramKind.LoadAnswer]: receiveLoad,
      [DatagramKind.ReadNotice]: wire => { readReadNotice(wire).ifJust(onNotice) },
      [DatagramKind.Weights]: wire => { readWeightsNotice(wire).ifJust(onWeights) },
      [DatagramKind.LimitQuestion]: receiveLimit,
      [DatagramKind.LimitAnswer]: receiveLimit,
      [DatagramKind.LimitReturn]: receiveLimit,
      [DatagramKind.LimitRenewal]: receiveLimit,
      [DatagramKind.LimitPromise]: receiveLimit
    }
    this.datagrams = UdpDatagrams.create(`${options.host}:${options.port}`)
    this.server = createServer((request, response) => {
      const { searchParams, pathname } = new URL(request.url ?? '', 'http://peer')
      if (pathname === LEASE_PATH) {
        options.onLeaseCall(request, searchParams, response)
        return
      }
      const topic = Object.values(ToldTopic).find(name => `/records/${name}` === pathname)
      if (topic === undefined) {
        response.writeHead(404).end()
        return
      }
      response.end(encodeRecords(options.tell(topic, Number(searchParams.get('from')))))
    })
  }

  static create (options: PeerLinkOptions): PeerLink {
    return new PeerLink(options)
  }

  async open (): Promise<void> {
    const { host, port } = this.options
    await this.datagrams.open(bytes => this.receive(bytes))
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  private receive (bytes: Uint8Array): void {
    unpackDatagram(bytes).ifJust(wire => {
      const [kind] = wire
      const receive = typeof kind === 'number' ? this.receivers[kind as DatagramKind] : this.receiveBeat
      receive?.(wire)
    })
  }

  async close (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
    this.connections.forEach(connections => connections.close())
    await this.datagrams.close()
  }

  send (addresses: readonly string[], message: PeerMessage): void {
    const bytes = encodePeerMessage(message)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  notify (addresses: readonly string[], notice: ReadNotice): void {
    const bytes = encodeReadNotice(notice)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  sendLoad (address: string, message: LoadMessage): void {
    this.datagrams.send(address, encodeLoadMessage(message))
  }

  sendLimit (address: string, message: LimitMessage): void {
    this.datagrams.send(address, encodeLimitMessage(message))
  }

  tellWeights (addresses: readonly string[], notice: WeightsNotice): void {
    const bytes = encodeWeightsNotice(notice)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  /** Asks another instance for what it knows of a topic from an offset on. */
  async ask (address: string, topic: ToldTopic, from: number): Promise<Either<Failure, ToldRecords>> {
    const { clock } = this.options
    const call = { method: 'GET', path: `/records/${topic}?from=${from}`, headers: ['Host', 'peer'], body: Buffer.alloc(0) }
    const answer = await callServer(this.connectionsTo(address), call, clock, clock.now() + ANSWER_MS)
    return answer.chain(({ status, body }) => status === 200 ? decodeRecords(body) : Left(malformed(`status ${status}`)))
  }

  /** The lease's log as another instance reaches it. */
  logThrough (address: string): FenceLog {
    const { clock } = this.options
    return logThrough(async call => await callServer(this.connectionsTo(address), call, clock, clock.now() + ANSWER_MS))
  }

  private connectionsTo (address: string): ServerConnections {
    let connections = this.connections.get(address)
    if (!connections) {
      connections = ServerConnections.create({ address, part: { total: 1, idle: 1 } })
      this.connections.set(address, connections)
    }
    return connections
  }
}

function malformed (reason: string): Failure {
  return Failure.create(FailureCode.Internal, Verdict.NotRun, `another instance answered with ${reason}`)
}

function encodeRecords ({ records, position, keys }: ToldRecords): string {
  const wire: WireRecords = { position, keys, records: records.map(({ key, value, offset }) => ({ key, offset, value: value?.toString('base64') ?? null })) }
  return JSON.stringify(wire)
}

function decodeRecords (body: Buffer): Either<Failure, ToldRecords> {
  return Either.encase(() => JSON.parse(body.toString()) as WireRecords)
    .mapLeft(({ message }) => malformed(message))
    .chain(({ position, records, keys }) => typeof position === 'number' && Array.isArray(records)
      ? Right({ position, keys: Array.isArray(keys) ? keys : undefined, records: records.map(({ key, value, offset }) => ({ key, offset, value: value === null ? undefined : Buffer.from(value, 'base64') })) })
      : Left(malformed('another form')))
}
