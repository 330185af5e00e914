import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { SeededRandom, SystemClock } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import { describe, it } from 'foxtaillever-testing'
import { serverWire } from '../../__fixtures__/relayRig.js'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from '../../__fixtures__/endlessBytes.js'
import { chunk, ScriptedServer, type Answer } from '../../__fixtures__/scriptedServer.js'
import { Attempt, type AnswerHead } from '../../attempts/attempt.js'
import { AttemptFailureKind, type AttemptFailure } from '../../attempts/attemptFailure.js'
import { ServerState } from '../../model/listedServer.js'
import type { PeerMessage } from '../../peers/peerMessage.js'
import type { KnownServer } from '../../servers/knownServer.js'
import type { CarriedRequest } from '../../telemetry/requestOutcome.js'
import type { Loss } from '../../crashes/lossReporter.js'
import type { RequestCauses } from '../../crashes/lostRequests.js'
import { answerLeaseCall, createProxiedLog } from '../../peers/leaseCalls.js'
import { callServer } from '../../servers/callServer.js'
import { ServerConnections } from '../../servers/serverConnections.js'
import type { FenceLog } from '../../weights/fenceLog.js'
import { Right } from 'purify-ts'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { ForwardingClient } from '../forwardingClient.js'
import { forwardingHeaders, readReportedFailure } from '../forwardingMessage.js'
import { ForwardingServer } from '../forwardingServer.js'
import { ProbeFinding } from '../peerProbes.js'

const OWN_HOST = '127.0.0.1'

interface Outcome {
  readonly head?: AnswerHead
  readonly body: string
  readonly failure?: AttemptFailure
}

/** Long enough that a server may have run a request, milliseconds. */
const RUN_MS = 100

const causes: RequestCauses = { request: 'digest', account: 'acme', levels: ['first', 'second'] }

/** An instance without links, another one that carries its requests, and a scripted server. */
class Rig {
  readonly clock = SystemClock.create()
  readonly directory = ServerDirectory.create({ onChanged: () => {}, now: () => this.clock.now() })
  readonly members = new Set([`${OWN_HOST}:7340`])
  isBroken = false
  quarantine: Quarantine | undefined
  /** What the carrying instance recorded as lost. */
  readonly losses: Array<{ readonly causes: RequestCauses, readonly loss: Loss }> = []
  readonly outcomes: string[] = []
  /** What the carrying instance logged of each request. */
  readonly logged: CarriedRequest[] = []
  readonly excesses: string[] = []
  private readonly http: Server
  readonly carrying: ForwardingServer
  readonly client: ForwardingClient
  address = ''

  private constructor (readonly scripted: ScriptedServer, handle?: (request: IncomingMessage, response: ServerResponse) => void) {
    const { clock } = this
    this.directory.applyEntry({ id: 's', startedAt: 0, service: 's', address: scripted.address, failureDomain: 'd', slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }, 1)
    this.carrying = ForwardingServer.create({
      clock,
      wire: { ...serverWire, passHeaders: headers => [...headers] },
      connectTimeoutMs: 500,
      directory: () => this.directory,
      monitor: { brokenSince: () => this.isBroken ? 1 : undefined, findFor: async () => ProbeFinding.Reached, suspect: (_server, _suspicion, _beganAt, conclusions) => conclusions?.onNotReached?.() },
      log: {
        carried: request => {
          this.outcomes.push(request.outcome)
          this.logged.push(request)
        },
        bodyExceeded: (source, _from, excess) => this.excesses.push(`${source} ${excess}`)
      },
      crashes: { findQuarantine: () => this.quarantine, recordLoss: (causes, loss) => this.losses.push({ causes, loss }) },
      isMember: address => this.members.has(address),
      maxBodyBytes: () => 1000
    })
    this.http = createServer(handle ?? ((request, response) => { this.carrying.handle(request, response) }))
    this.client = ForwardingClient.create({
      clock,
      random: SeededRandom.create(1),
      address: () => `${OWN_HOST}:7340`,
      peers: () => [{ address: this.address, links: LinkState.Sound } as PeerMessage],
      onAnswer: () => {}
    })
  }

  static async start (answer: Answer, handle?: (request: IncomingMessage, response: ServerResponse) => void): Promise<Rig> {
    const rig = new Rig(await ScriptedServer.start(answer), handle)
    await new Promise<void>(resolve => rig.http.listen(0, OWN_HOST, resolve))
    rig.address = `${OWN_HOST}:${(rig.http.address() as AddressInfo).port}`
    return rig
  }

  get server (): KnownServer {
    return this.directory.get('s') as KnownServer
  }

  /** @param onBegun receives the attempt. */
  async send (id: string, body = '', onBegun: (attempt: Attempt) => void = () => {}): Promise<Outcome> {
    const forwarder = this.client.forwarderFor(this.server, { requestId: id, causes }, new Set())
    return await new Promise(resolve => {
      if (!forwarder) {
        resolve({ body: '', failure: { kind: AttemptFailureKind.Unreachable, detail: 'no forwarder' } })
        return
      }
      let head: AnswerHead | undefined
      let text = ''
      onBegun(Attempt.begin({
        clock: this.clock,
        wire: { ...serverWire, passHeaders: headers => [...headers] },
        connections: forwarder.channel,
        readFailure: readReportedFailure,
        requestId: id,
        connectTimeoutMs: 500,
        call: { method: 'POST', path: '/p', headers: ['Host', 'h', 'request-id', id, 'content-length', String(body.length)], body: Buffer.from(body) },
        listener: {
          onHead: received => { head = received },
          onData: bytes => { text += bytes.toString() },
          onEnd: () => resolve({ ...(head ? { head } : {}), body: text }),
          onFailed: failure => resolve({ ...(head ? { head } : {}), body: text, failure })
        }
      }))
    })
  }

  stop (): void {
    this.client.close()
    this.http.close()
    this.http.closeAllConnections()
    this.scripted.stop()
  }
}

const answerWell: Answer = ({ id, socket }) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`) }

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

/** A call of another instance whose body does not end. */
function callWithoutEnd ({ address, server }: Rig, path: string, isForwarded: boolean): Socket {
  const [host, port] = address.split(':')
  const headers = isForwarded ? forwardingHeaders({ server: server.hash, from: `${OWN_HOST}:7340`, requestId: 'r1', causes }) : []
  const socket = connect(Number(port), host).on('error', () => {})
  socket.resume()
  socket.write(`POST ${path} HTTP/1.1\r\nHost: peer\r\nTransfer-Encoding: chunked\r\n${headers.length > 0 ? `${headers.join(': ')}\r\n` : ''}\r\n`)
  return socket
}

const neverRun = [AttemptFailureKind.Unreachable, AttemptFailureKind.Closed]

describe('a request that another instance carries', () => {
  it('reaches the server as it was sent, and its answer returns', async t => {
    const rig = await Rig.start(answerWell)
    const { head, body, failure } = await rig.send('r1', 'the body')
    t.is(failure, undefined)
    t.is(head?.status, 200)
    t.is(body, 'ok')
    t.is(rig.scripted.arrivals.length, 1)
    t.deepEqual(rig.outcomes, ['answered'])
    rig.stop()
  })

  // Guards against strangers that send requests to servers through an instance.
  it('is not sent if it comes from no instance of the fleet', async t => {
    const rig = await Rig.start(answerWell)
    rig.members.clear()
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  // Guards against an instance that does for others what a server asked it not to do.
  it('is not sent to a server that stated to the carrying instance that it leaves', async t => {
    const rig = await Rig.start(answerWell)
    rig.directory.markLeaving('s', rig.clock.now())
    const { failure } = await rig.send('r1')
    t.true(failure !== undefined && neverRun.includes(failure.kind))
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  // Guards against two instances without links that send each other's requests back and forth.
  it('is not sent on by an instance whose own link is broken', async t => {
    const rig = await Rig.start(answerWell)
    rig.isBroken = true
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  it('fails as not sent if the server accepts no connection there either', async t => {
    const rig = await Rig.start(answerWell)
    rig.scripted.stop()
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Unreachable)
    t.true(failure?.isReported)
    rig.stop()
  })

  // Guards against a second run of a request whose connection to the server was lost at the carrying instance.
  it('fails as one that may have run if the server closes its connection', async t => {
    const rig = await Rig.start(({ socket }) => { socket.destroy() })
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Lost)
    t.true(failure?.isReported)
    rig.stop()
  })

  it('fails as refused if the server says that it did not run it', async t => {
    const rig = await Rig.start(({ id, socket }) => { socket.write(`HTTP/1.1 503 Full\r\nrequest-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`) })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Refused)
    rig.stop()
  })

  // Guards against a part of an answer that looks complete after it has passed another instance.
  it('does not look complete if the server breaks off its answer', async t => {
    const rig = await Rig.start(({ id, socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 10\r\n\r\nok`, () => { socket.destroy() })
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Lost)
    t.is(rig.logged.length, 1)
    t.like(rig.logged[0], { request: 'r1', outcome: AttemptFailureKind.Lost, bytes: 2 })
    t.true(Number(rig.logged[0]?.answeringMs) >= 0)
    rig.stop()
  })

  // Guards against a stream that ends at the instance that asked, of which the carrying instance's log says nothing.
  it('leaves a line if its instance cancels it in the middle of the answer', async t => {
    const rig = await Rig.start(({ id, socket }) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 10\r\n\r\nok`) })
    rig.send('r1', '', attempt => setTimeout(() => attempt.cancel(), RUN_MS)).catch(t.fail)
    await rig.scripted.arrived(1)
    await rig.scripted.closed(0)
    t.is(rig.logged.length, 1)
    t.like(rig.logged[0], { request: 'r1', outcome: 'cancelled', bytes: 2 })
    rig.stop()
  })

  // Guards against an answer that ends with its connection and counts as cut, or a cut one that counts as whole.
  it('keeps an answer whole whose end is the end of its connection', async t => {
    const rig = await Rig.start(({ id, socket }) => { socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\nconnection: close\r\n\r\nall of it`) })
    const { body, failure } = await rig.send('r1')
    t.is(failure, undefined)
    t.is(body, 'all of it')
    rig.stop()
  })

  // Guards against servers that go on working for callers that have left.
  it('is cancelled at the server when its instance cancels it', async t => {
    const closed = new Promise<void>(resolve => {
      Rig.start(({ socket }) => { socket.once('close', () => resolve()) }).then(async rig => {
        rig.send('r1', '', attempt => setTimeout(() => attempt.cancel(), 50)).catch(() => {})
        await closed
        rig.stop()
      }, () => {})
    })
    await t.notThrowsAsync(closed)
  })

  // Guards against answers of an instance of an earlier release that count as the server's.
  it('was not sent if the other instance knows no forwarding', async t => {
    const rig = await Rig.start(answerWell, (_, response) => response.writeHead(404).end())
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  it('goes through no instance that failed to carry one a moment ago', async t => {
    const rig = await Rig.start(answerWell)
    const { address = '' } = rig.client.forwarderFor(rig.server, { requestId: 'r1', causes }, new Set()) ?? {}
    rig.client.recordFailure(address)
    t.is(rig.client.forwarderFor(rig.server, { requestId: 'r1', causes }, new Set()), undefined)
    t.false(rig.client.isAvailable)
    rig.stop()
  })

  // Guards against crashes that count for nothing, or as the carrying instance's fault, because another instance carried the request.
  it('is recorded as lost by the carrying instance when it crashes the server', async t => {
    const rig = await Rig.start(({ socket }) => { setTimeout(() => socket.destroy(), RUN_MS) })
    await rig.send('r1')
    t.deepEqual(rig.losses.map(loss => loss.causes), [causes])
    t.is(rig.losses[0]?.loss.server, rig.server.hash)
    rig.stop()
  })

  // Guards against requests that wait for a connection at the carrying instance and crash servers after all instances refuse them.
  it('is not sent by an instance that refuses it', async t => {
    const rig = await Rig.start(answerWell)
    rig.quarantine = { kind: CauseKind.Level, id: 'second', account: undefined, servers: [], revision: 1, isLifted: false, expiresAt: Infinity }
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.HeldBack)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })
})

describe('bytes without end between instances', () => {
  const calls: Readonly<Record<string, { readonly path: string, readonly isForwarded: boolean, readonly prepare: (rig: Rig) => void }>> = {
    'a request that is carried': { path: '/p', isForwarded: true, prepare: () => {} },
    'a request that is refused': { path: '/p', isForwarded: true, prepare: rig => { rig.members.clear() } },
    'a probe': { path: '/probe?server=1', isForwarded: false, prepare: () => {} },
    'another call': { path: '/records/servers', isForwarded: false, prepare: () => {} }
  }
  for (const [name, { path, isForwarded, prepare }] of Object.entries(calls)) {
    // Guards against calls whose bodies are read for as long as they come.
    it(`close the connection of ${name}`, async t => {
      const rig: Rig = await Rig.start(answerWell, (request, response) => { rig.carrying.handle(request, response) || response.writeHead(404).end() })
      prepare(rig)
      const socket = callWithoutEnd(rig, path, isForwarded)
      writeWithoutEnd(socket, chunk('x'.repeat(8192)))
      t.true(await closesWithin(socket, CLOSE_MS))
      t.deepEqual(rig.excesses, ['instance bytes'])
      rig.stop()
    })
  }

  // Guards against a carried request that keeps its place at the carrying instance without ever being complete.
  it('close the connection of a request that does not get complete in time', async t => {
    const rig: Rig = await Rig.start(answerWell)
    const socket = callWithoutEnd(rig, '/p', true)
    socket.write(chunk('x'))
    t.true(await closesWithin(socket, 2 * CLOSE_MS))
    t.deepEqual(rig.excesses, ['instance time'])
    rig.stop()
  })

  // Guards against an instance that reads on for another one what a server sends after a refusal.
  it('end at the carrying instance if a server sends them after a refusal', async t => {
    const rig = await Rig.start(({ id, socket }) => {
      socket.write(headWithoutEnd('503 Full', [`request-id: ${id}`, 'not-run: 1']))
      writeWithoutEnd(socket, pieceOf(Framing.Chunked))
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Refused)
    t.true(await closesWithin(rig.scripted.sockets[0], CLOSE_MS))
    t.true(rig.server.health.faultShare(rig.clock.now()) > 0)
    rig.stop()
  })

  // Guards against an instance that reads what another one sends after a reported failure.
  it('end at the asking instance if the carrying instance sends them, which is passed over', async t => {
    const sockets: Socket[] = []
    const rig: Rig = await Rig.start(answerWell, (request, response) => {
      sockets.push(request.socket)
      request.socket.on('error', () => {})
      request.socket.write(headWithoutEnd('502 Failed', ['foxtaillever-result: kind=unreachable&detail=none']))
      writeWithoutEnd(request.socket, pieceOf(Framing.Chunked))
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.true(await closesWithin(sockets[0], CLOSE_MS))
    t.false(rig.client.isAvailable)
    rig.stop()
  })

  // Guards against a call about the lease whose record is lost because its body is bounded.
  it('are not the record of a lease', async t => {
    const records: Buffer[] = []
    const log: FenceLog = {
      append: async (_topic, at, record) => Right({ isAppended: true, end: records.push(record) + at }),
      readAt: async () => Right(undefined)
    }
    const rig: Rig = await Rig.start(answerWell, (request, response) => {
      rig.carrying.handle(request, response) || answerLeaseCall(log, 'lease', request, new URL(request.url ?? '', 'http://peer').searchParams, response).catch(() => response.destroy())
    })
    const connections = ServerConnections.create({ address: rig.address, part: { total: 1, idle: 1 } })
    const proxied = createProxiedLog(async call => await callServer(connections, call, { clock: rig.clock, deadline: rig.clock.now() + CLOSE_MS, maxBytes: 1000 }))
    t.true((await proxied.append('', 0, Buffer.from('holder'))).isRight())
    t.deepEqual(records.map(String), ['holder'])
    connections.close()
    rig.stop()
  })
})
