/** An instance that sends requests through another one, and a scripted server that only the other one reaches. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { SeededRandom, SystemClock } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import { serverWire } from '../../__fixtures__/relayRig.js'
import { ScriptedServer, type Answer } from '../../__fixtures__/scriptedServer.js'
import { watchCalls } from '../../__fixtures__/watchCalls.js'
import { Attempt, type AnswerHead } from '../../attempts/attempt.js'
import { AttemptFailureKind, type AttemptFailure } from '../../attempts/attemptFailure.js'
import { ServerState } from '../../model/listedServer.js'
import type { PeerMessage } from '../../peers/peerMessage.js'
import type { CarriedRequest } from '../../telemetry/requestOutcome.js'
import type { KnownServer } from '../../servers/knownServer.js'
import type { Loss } from '../../crashes/lossReporter.js'
import type { RequestCauses } from '../../crashes/lostRequests.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { ForwardingClient } from '../forwardingClient.js'
import { readReportedFailure } from '../forwardingMessage.js'
import { ForwardingServer } from '../forwardingServer.js'
import { ProbeFinding } from '../peerProbes.js'

export const OWN_HOST = '127.0.0.1'

interface Outcome {
  readonly head?: AnswerHead
  readonly body: string
  readonly failure?: AttemptFailure
}

export const causes: RequestCauses = { request: 'digest', account: 'acme', levels: ['first', 'second'] }

/** An instance without links, another one that carries its requests, and a scripted server. */
export class ForwardingRig {
  readonly clock = SystemClock.create()
  readonly directory = ServerDirectory.create({ onChanged: () => {}, now: () => this.clock.now() })
  readonly members = new Set([`${OWN_HOST}:7340`])
  /** Of the carrying instance. */
  readonly budget = ProcessBudget.create({ memoryBytes: 1, heapBytes: 1 })
  isBroken = false
  maxBodyBytes = 1000
  quarantine: Quarantine | undefined
  /** What the carrying instance recorded as lost. */
  readonly losses: Array<{ readonly causes: RequestCauses, readonly loss: Loss }> = []
  readonly outcomes: string[] = []
  /** What the carrying instance logged of each request. */
  readonly logged: CarriedRequest[] = []
  readonly excesses: string[] = []
  /** Called before each call that the carrying instance makes of its surroundings; throws in place of it where a test wants that. */
  onCarrierCall = (_name: string): void => {}
  /** What steps of carried requests threw. */
  readonly errors: string[] = []
  private readonly http: Server
  readonly carrying: ForwardingServer
  readonly client: ForwardingClient
  address = ''

  private constructor (readonly scripted: ScriptedServer, handle?: (request: IncomingMessage, response: ServerResponse) => void) {
    const { clock } = this
    this.directory.applyEntry({ id: 's', startedAt: 0, service: 's', address: scripted.address, failureDomain: 'd', slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }, 1)
    this.carrying = ForwardingServer.create(watchCalls({
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
        bodyExceeded: (source, _from, excess) => this.excesses.push(`${source} ${excess}`),
        stepFailed: (_, error) => this.errors.push(String(error))
      },
      crashes: { findQuarantine: () => this.quarantine, recordLoss: (causes, loss) => this.losses.push({ causes, loss }) },
      isMember: address => this.members.has(address),
      maxBodyBytes: () => this.maxBodyBytes,
      budget: this.budget
    }, name => this.onCarrierCall(name)))
    this.http = createServer(handle ?? ((request, response) => { this.carrying.handle(request, response) }))
    this.client = ForwardingClient.create({
      clock,
      random: SeededRandom.create(1),
      address: () => `${OWN_HOST}:7340`,
      peers: () => [{ address: this.address, links: LinkState.Sound } as PeerMessage],
      onAnswer: () => {}
    })
  }

  /** @param answersEarly see `ScriptedServer.start`. */
  static async start (answer: Answer, handle?: (request: IncomingMessage, response: ServerResponse) => void, answersEarly = false): Promise<ForwardingRig> {
    const rig = new ForwardingRig(await ScriptedServer.start(answer, answersEarly), handle)
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
          onFailed: failure => resolve({ ...(head ? { head } : {}), body: text, failure }),
          onError: error => { throw error }
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

export const answerWell: Answer = ({ id, socket }) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`) }
