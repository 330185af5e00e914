/**
 * Datagrams and calls between instances. Datagrams carry what changes by the
 * second and may be lost. A call fetches the records that an instance lacks while
 * the platform's store does not answer it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { decodeJson, Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { UdpDatagrams } from 'foxtaillever-fleet/membership/datagrams'
import { Left, type Either } from 'purify-ts'
import { array, Codec, nullable, number, optional, string, type GetType } from 'purify-ts/Codec'
import type { KeyedRecord } from '../knowledge/keyedLog.js'
import { Door, type ServerGuard } from '../callers/serverGuard.js'
import { callServer } from '../servers/callServer.js'
import { ServerConnections } from '../servers/serverConnections.js'
import { DatagramKind, unpackDatagram } from './datagram.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from './loadMessage.js'
import { encodeLimitMessage, readLimitMessage, type LimitMessage } from '../limits/limitMessage.js'
import { encodeAdmissionMessage, readAdmissionMessage, type AdmissionMessage } from '../admission/admissionMessage.js'
import { encodeStreamVersionMessage, readStreamVersionMessage, type StreamVersionMessage } from '../streams/streamVersionMessage.js'
import { encodeCrashMessage, readCrashMessage, type CrashMessage } from '../crashes/crashMessage.js'
import { encodePeerMessage, readPeerMessage, type PeerMessage } from './peerMessage.js'
import { encodeReadNotice, readReadNotice, type ReadNotice } from './readNotice.js'
import type { FenceLog } from '../weights/fenceLog.js'
import { LEASE_PATH, createProxiedLog } from './leaseCalls.js'
import { AnnouncedTopic } from './announcedTopic.js'
import { encodeWeightsNotice, readWeightsNotice, type WeightsNotice } from './weightsNotice.js'

/** Records from an offset on, and up to which offset the sender knows the topic. */
export interface AnnouncedRecords {
  readonly records: readonly KeyedRecord[]
  readonly position: number
  /** All existing keys; undefined if the records include every removal. */
  readonly keys: readonly string[] | undefined
}

const wireRecords = Codec.interface({
  keys: optional(array(string)),
  position: number,
  records: array(Codec.interface({ key: string, value: nullable(string), offset: number }))
})

/** Timeout of a call in milliseconds; the other instance answers from memory. */
const CALL_TIMEOUT_MS = 600

/** Longest records of a topic that another instance announces, bytes: ten thousand servers' entries. */
const MAX_RECORDS_BYTES = 8 * 1024 * 1024

/** Longest answer to a call about the lease, bytes; its record has at most 1000. */
const MAX_LEASE_ANSWER_BYTES = 16 * 1024

export interface PeerLinkOptions {
  readonly clock: Clock
  /** IP address and port, for datagrams and calls. */
  readonly host: string
  readonly port: number
  readonly onMessage: (message: PeerMessage) => void
  readonly onNotice: (notice: ReadNotice) => void
  readonly onLoad: (message: LoadMessage) => void
  readonly onWeights: (notice: WeightsNotice) => void
  readonly onLimit: (message: LimitMessage) => void
  readonly onAdmission: (message: AdmissionMessage) => void
  readonly onStreamVersion: (message: StreamVersionMessage) => void
  readonly onCrash: (message: CrashMessage) => void
  /** Returns what this instance knows of a topic from an offset on. */
  readonly recordsFrom: (topic: AnnouncedTopic, from: number) => AnnouncedRecords
  /** Handles calls of another instance about its requests to servers; returns whether it handles the call. */
  readonly onServerCall: (request: IncomingMessage, response: ServerResponse) => boolean
  /** Handles a call of another instance that uses the lease's log through this one. */
  readonly onLeaseCall: (request: IncomingMessage, search: URLSearchParams, response: ServerResponse) => void
  readonly guard: ServerGuard
}

/** Handles one kind of datagram. */
type Receiver = (wire: readonly unknown[]) => void

export class PeerLink {
  private readonly datagrams: UdpDatagrams
  private readonly server: Server
  private readonly connections = new Map<string, ServerConnections>()
  private readonly receivers: Readonly<Record<DatagramKind, Receiver | undefined>>
  private readonly receiveHeartbeat: Receiver
  /** Calls of other instances whose answers are not written out. */
  openCalls = 0

  private constructor (private readonly options: PeerLinkOptions) {
    const { onMessage, onNotice, onLoad, onWeights, onLimit, onAdmission, onStreamVersion, onCrash } = options
    const receiveLoad: Receiver = wire => { readLoadMessage(wire).ifJust(onLoad) }
    const receiveLimit: Receiver = wire => { readLimitMessage(wire).ifJust(onLimit) }
    const receiveAdmission: Receiver = wire => { readAdmissionMessage(wire).ifJust(onAdmission) }
    const receiveStreamVersion: Receiver = wire => { readStreamVersionMessage(wire).ifJust(onStreamVersion) }
    const receiveCrash: Receiver = wire => { readCrashMessage(wire).ifJust(onCrash) }
    this.receiveHeartbeat = wire => { readPeerMessage(wire).ifJust(onMessage) }
    this.receivers = {
      [DatagramKind.ServerLoadReport]: receiveLoad,
      [DatagramKind.LoadRequest]: receiveLoad,
      [DatagramKind.LoadResponse]: receiveLoad,
      [DatagramKind.ReadNotice]: wire => { readReadNotice(wire).ifJust(onNotice) },
      [DatagramKind.Weights]: wire => { readWeightsNotice(wire).ifJust(onWeights) },
      [DatagramKind.LimitRequest]: receiveLimit,
      [DatagramKind.LimitResponse]: receiveLimit,
      [DatagramKind.LimitRefund]: receiveLimit,
      [DatagramKind.LimitRenewal]: receiveLimit,
      [DatagramKind.LimitPromise]: receiveLimit,
      [DatagramKind.AdmissionRequest]: receiveAdmission,
      [DatagramKind.AdmissionResponse]: receiveAdmission,
      [DatagramKind.AdmissionCancel]: receiveAdmission,
      [DatagramKind.StreamVersionNotice]: receiveStreamVersion,
      [DatagramKind.StreamVersionAcknowledgement]: receiveStreamVersion,
      [DatagramKind.StreamVersionRequest]: receiveStreamVersion,
      [DatagramKind.StreamVersionResponse]: receiveStreamVersion,
      [DatagramKind.CrashReport]: receiveCrash,
      [DatagramKind.CrashRetraction]: receiveCrash,
      [DatagramKind.AnsweredNotice]: receiveCrash,
      [DatagramKind.SuspicionNotice]: receiveCrash,
      [DatagramKind.TrialRequest]: receiveCrash,
      [DatagramKind.TrialResponse]: receiveCrash,
      [DatagramKind.QuarantineNotice]: receiveCrash
    }
    this.datagrams = UdpDatagrams.create(`${options.host}:${options.port}`)
    this.server = createServer((request, response) => {
      this.openCalls += 1
      response.once('close', () => { this.openCalls -= 1 })
      if (options.onServerCall(request, response)) {
        return
      }
      // Only the path follows the host, so that no text makes an invalid URL.
      const { searchParams, pathname } = new URL(`http://peer${(request.url ?? '').replace(/^[^/]*/, '')}`)
      if (pathname === LEASE_PATH) {
        options.onLeaseCall(request, searchParams, response)
        return
      }
      const topic = Object.values(AnnouncedTopic).find(name => `/records/${name}` === pathname)
      if (topic === undefined) {
        response.writeHead(404).end()
        return
      }
      response.end(encodeRecords(options.recordsFrom(topic, Number(searchParams.get('from')))))
    })
    options.guard.protect(this.server, Door.Peers)
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
      const receive = typeof kind === 'number' ? this.receivers[kind as DatagramKind] : this.receiveHeartbeat
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

  sendNotice (addresses: readonly string[], notice: ReadNotice): void {
    const bytes = encodeReadNotice(notice)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  sendLoad (address: string, message: LoadMessage): void {
    this.datagrams.send(address, encodeLoadMessage(message))
  }

  sendLimit (address: string, message: LimitMessage): void {
    this.datagrams.send(address, encodeLimitMessage(message))
  }

  sendAdmission (address: string, message: AdmissionMessage): void {
    this.datagrams.send(address, encodeAdmissionMessage(message))
  }

  sendStreamVersion (address: string, message: StreamVersionMessage): void {
    this.datagrams.send(address, encodeStreamVersionMessage(message))
  }

  sendCrash (addresses: readonly string[], message: CrashMessage): void {
    const bytes = encodeCrashMessage(message)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  sendWeights (addresses: readonly string[], notice: WeightsNotice): void {
    const bytes = encodeWeightsNotice(notice)
    addresses.forEach(address => this.datagrams.send(address, bytes))
  }

  /** Fetches what another instance knows of a topic from an offset on. */
  async fetchRecords (address: string, topic: AnnouncedTopic, from: number): Promise<Either<Failure, AnnouncedRecords>> {
    const { clock } = this.options
    const call = { method: 'GET', path: `/records/${topic}?from=${from}`, headers: ['Host', 'peer'], body: Buffer.alloc(0) }
    const answer = await callServer(this.connectionsTo(address), call, { clock, deadline: clock.now() + CALL_TIMEOUT_MS, maxBytes: MAX_RECORDS_BYTES })
    return answer.chain(({ status, body }) => status === 200 ? decodeRecords(body) : Left(malformed(`status ${status}`)))
  }

  /** The lease's log, accessed through the instance at the address. */
  proxiedLog (address: string): FenceLog {
    const { clock } = this.options
    return createProxiedLog(async call => await callServer(this.connectionsTo(address), call, { clock, deadline: clock.now() + CALL_TIMEOUT_MS, maxBytes: MAX_LEASE_ANSWER_BYTES }))
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

function encodeRecords ({ records, position, keys }: AnnouncedRecords): string {
  const wire: GetType<typeof wireRecords> = { position, keys: keys && [...keys], records: records.map(({ key, value, offset }) => ({ key, offset, value: value?.toString('base64') ?? null })) }
  return JSON.stringify(wire)
}

function decodeRecords (body: Buffer): Either<Failure, AnnouncedRecords> {
  return decodeJson(wireRecords, body)
    .mapLeft(malformed)
    .map(({ position, keys, records }) => ({ position, keys, records: records.map(({ key, value, offset }) => ({ key, offset, value: value === null ? undefined : Buffer.from(value, 'base64') })) }))
}
