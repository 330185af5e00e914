/** The request path of the relay on real sockets, with scripted backend servers and a virtual clock. */
import { connect, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { SeededRandom } from 'foxtaillever-core'
import { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { CacheIsolation } from '../cache/cacheIsolation.js'
import { FetchLoad } from '../cache/fetchLoad.js'
import { CallerServer } from '../callers/callerServer.js'
import { CrashProtocol } from '../crashes/crashProtocol.js'
import type { ExchangeContext } from '../exchange/exchangeContext.js'
import { ExchangeRuns } from '../exchange/exchangeRuns.js'
import { directPaths } from '../links/serverPaths.js'
import { LimitStatementKind, noLimit } from '../model/limitStatement.js'
import { noAdmissionProtocol } from '../admission/admissionProtocol.js'
import type { AdmissionContext } from '../admission/requestAdmission.js'
import { noSharedLimits } from '../limits/limitProtocol.js'
import { ServerLimits } from '../limits/serverLimits.js'
import { ServerState } from '../model/listedServer.js'
import { readRetryAfter } from '../model/retryAfter.js'
import { Repeatability, type Route, type Routing } from '../model/routing.js'
import type { CallerWire, ServerWire } from '../model/wire.js'
import { RouteTable } from '../routing/routeTable.js'
import { noQuotas } from '../limits/accountQuotas.js'
import { BrittleServers } from '../servers/brittleServers.js'
import { ServerDirectory } from '../servers/serverDirectory.js'
import { availableFrom } from '../servers/serverAvailability.js'
import { ServiceRetrySchedules } from '../servers/serviceRetrySchedules.js'
import { ServerStatementHandler } from '../servers/serverStatementHandler.js'
import { noStreamVersions } from '../streams/streamVersions.js'
import { RelayLog } from '../telemetry/relayLog.js'
import { ScriptedServer, type Answer } from './scriptedServer.js'
import { watchCalls } from './watchCalls.js'

export const plainRoute: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  targets: [{ service: 's', weight: 1 }],
  repeatability: Repeatability.Once,
  isStream: false,
  isResumable: false,
  hasPrompt: false,
  isPublic: true,
  timeoutMs: 10_000,
  objectiveMs: 100,
  pauseObjectiveMs: 250,
  mostAttempts: 2,
  awaitsAdmission: false,
  silenceLimitMs: Infinity,
  priority: 0
}

const RETRY_ALLOWANCE = { ratio: 0.2, slack: 1000, windowMs: 10_000 }

const callerWire: CallerWire = {
  readHead: ({ headers, method = '', url = '' }) => Right({
    id: String(headers['request-id']),
    method,
    path: url,
    host: 'h',
    headers: [],
    apiKey: undefined,
    patienceMs: undefined,
    prompt: headers.model === undefined ? undefined : { model: String(headers.model), levels: [], promptTokens: 10, outputTokens: 1 },
    resumeAfter: '',
    resumedId: ''
  })
}

export const serverWire: ServerWire = {
  notRunStatuses: new Set([408, 429, 503]),
  createHeaders: ({ id, body }, { resumeAfter, cacheSalt }) => ['Host', 'h', 'request-id', id, 'after', resumeAfter, 'salt', cacheSalt, 'content-length', String(body.length)],
  readMarks: (_, headers) => ({
    requestId: headers['request-id'] as string | undefined,
    isStamped: headers['stamp'] !== undefined,
    isNotRun: headers['not-run'] !== undefined,
    serverId: undefined,
    weightsVersion: undefined,
    isEventStream: headers['content-type'] === 'text/event-stream'
  }),
  readStatement: (status, headers) => ({
    serverId: headers.server as string | undefined,
    requestId: headers['request-id'] as string | undefined,
    hasRun: headers.stamp !== undefined && headers['not-run'] === undefined,
    isLeaving: headers.leaving !== undefined,
    restMs: readRetryAfter(status, headers['retry-after']),
    maxRejections: noLimit,
    limit: headers.limit === undefined ? noLimit : { kind: LimitStatementKind.Limit, perSecond: Number(headers.limit) }
  }),
  passHeaders: () => []
}

export interface LogLine {
  readonly msg: string
  readonly [field: string]: unknown
}

export class RelayRig {
  readonly clock = VirtualClock.create()
  readonly lines: LogLine[] = []
  readonly log = RelayLog.create(Logs.create({ instance: 'i', level: 'info', clock: this.clock, destination: { write: text => { this.lines.push(JSON.parse(text) as LogLine) } } }))
  /** As of a fleet of one instance. */
  readonly crashes = CrashProtocol.create({
    clock: this.clock,
    log: RelayLog.create(Logs.create({ instance: 'i', level: 'silent', clock: this.clock, destination: new PassThrough() })),
    address: () => 'own',
    decidersOf: () => ['own'],
    serverCount: () => this.directory.all().length,
    isBeating: async () => false,
    send: () => {},
    sendToAll: () => {},
    onQuarantine: () => this.runs.checkQuarantines(),
    onDecided: () => {}
  })

  readonly directory = ServerDirectory.create({
    onChanged: () => {},
    now: () => this.clock.now(),
    onAnswer: (server, status, headers, sentAt) => this.statements.applyStatement(server, serverWire.readStatement(status, headers), sentAt)
  })

  /** As of an instance that has run for a window. */
  readonly retries = RetryShare.create(RETRY_ALLOWANCE, this.clock.now() - RETRY_ALLOWANCE.windowMs, () => 1)
  readonly servers: ScriptedServer[] = []
  /** Servers that were reported to their watchers as unreachable. */
  readonly unreachable: string[] = []
  /** Called when an attempt begins or ends. */
  onLoadChanged = (): void => {}
  /** Decides on requests under the quotas of client accounts. */
  quota = noQuotas
  /** Decides on requests under the limits that servers stated. */
  limitProtocol = noSharedLimits
  /** Finds how an attempt reaches its server. */
  pathTo = directPaths.pathTo
  /** Queries the load of servers before one is chosen. */
  queryLoad = (): Promise<ReadonlySet<number>> | undefined => undefined
  /** Called before each call that a run makes of its context; throws in place of it where a test wants that. */
  onContextCall = (_name: string): void => {}
  /** When the instance ends a shutdown, milliseconds of Unix time. */
  endsAt = Infinity
  /** How often a server was chosen for an attempt. */
  choices = 0
  /** Decides on admission at servers. */
  admission: AdmissionContext = { claims: { claimFor: () => undefined, queuePositionOf: () => undefined, mayBypass: () => true }, protocol: noAdmissionProtocol }
  /** The configuration in force. */
  routing: Routing
  private readonly callers: CallerServer
  readonly limits: ServerLimits
  private readonly statements: ServerStatementHandler
  readonly runs: ExchangeRuns
  private port = 0

  private constructor (route: Route) {
    const { clock } = this
    const limits = { headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMs: 5000, idleTimeoutMs: 5000 }
    this.routing = { revision: 1, routes: [route], services: new Map(), cacheStores: [], accounts: [], cacheIsolation: CacheIsolation.create([]), limits }
    const random = SeededRandom.create(1)
    const { log } = this
    this.limits = ServerLimits.create({ clock, log, directory: this.directory, protocol: () => this.limitProtocol, onUrgent: () => {} })
    const brittle = BrittleServers.create({ clock, log, directory: this.directory, onUrgent: () => {} })
    this.statements = ServerStatementHandler.create({ clock, log, directory: this.directory, limits: this.limits, brittle, onBackoffRequested: () => {} })
    const retrySchedules = ServiceRetrySchedules.create({ clock, directory: this.directory, limitOf: server => this.limits.limitOf(server), instances: () => 1 })
    const context: ExchangeContext = {
      clock,
      endsAt: () => this.endsAt,
      connectTimeoutMs: 200,
      random,
      wire: serverWire,
      directory: this.directory,
      retries: this.retries,
      crashes: this.crashes,
      streamVersions: noStreamVersions,
      quota: {
        admit: (exchange, go) => this.quota.admit(exchange, go),
        refund: exchange => this.quota.refund(exchange)
      },
      limits: this.limits,
      admission: {
        claims: { claimFor: (exchange, server) => this.admission.claims.claimFor(exchange, server), queuePositionOf: () => undefined, mayBypass: () => true },
        protocol: { request: (claim, onResult, onQueued) => this.admission.protocol.request(claim, onResult, onQueued) }
      },
      paths: { ...directPaths, pathTo: (server, need) => this.pathTo(server, need) },
      caches: { savedLevels: SavedLevels.create(), fetchLoad: FetchLoad.create(() => 0), available: () => [] },
      log,
      isBrittle: server => brittle.isBrittle(server),
      routing: () => this.routing,
      othersTokensAt: () => 0,
      onLoadChanged: () => this.onLoadChanged(),
      onSpeedSample: () => {},
      onSaved: () => {},
      onUnreachable: ({ listed }) => { this.unreachable.push(listed.id) },
      onRejected: () => {},
      queryLoad: () => this.queryLoad(),
      selectServer: (_, { failed, onlyServers }) => {
        this.choices += 1
        return this.directory.ready('s').find(server => !failed.has(server.listed.id) && onlyServers?.has(server.listed.id) !== false && availableFrom(server) <= clock.now())
      },
      isSuitable: (_, { failed, onlyServers }, server) => !failed.has(server.listed.id) && onlyServers?.has(server.listed.id) !== false && this.directory.ready('s').includes(server),
      earliestRetryAt: (service, softwareVersion) => retrySchedules.nextRetryAt(service, softwareVersion),
      onMisdirected: () => {}
    }
    this.runs = ExchangeRuns.create(watchCalls(context, name => this.onContextCall(name)))
    const table = RouteTable.create(this.routing)
    this.callers = CallerServer.create({
      clock, log, wire: callerWire, table: () => table, onExchange: (exchange, answer) => this.runs.start(exchange, answer)
    })
    this.callers.setLimits(limits)
  }

  /** Lets callers send bodies up to this size, bytes. */
  allowBodies (bodyBytes: number): void {
    this.callers.setLimits({ ...this.routing.limits, bodyBytes })
  }

  /** Starts a server for each answer; requests are sent to the servers in this order. */
  static async start (route: Partial<Route>, ...answers: Answer[]): Promise<RelayRig> {
    const rig = new RelayRig({ ...plainRoute, ...route })
    for (const answer of answers) {
      await rig.addServer(answer)
    }
    rig.port = await rig.callers.listen('127.0.0.1', 0)
    return rig
  }

  /** @param answersEarly see `ScriptedServer.start`. */
  async addServer (answer: Answer, answersEarly = false): Promise<void> {
    const server = await ScriptedServer.start(answer, answersEarly)
    const id = `s${this.servers.push(server) - 1}`
    const listed = { id, startedAt: 0, service: 's', address: server.address, failureDomain: 'd', slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map<string, number>() }
    this.directory.applyEntry(listed, this.servers.length)
  }

  get arrivals (): number {
    return this.servers.reduce((sum, { arrivals }) => sum + arrivals.length, 0)
  }

  /** Address for callers, IP address and port. */
  get address (): string {
    return `127.0.0.1:${this.port}`
  }

  connect (): Socket {
    return connect(this.port, '127.0.0.1').on('error', () => {})
  }

  /** Sends one request on its own connection and returns all bytes received until the connection ends. */
  async sendRequest (id: string, body = '', headers: readonly string[] = []): Promise<string> {
    const socket = this.connect()
    socket.write(`POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\nconnection: close\r\n${headers.map(header => `${header}\r\n`).join('')}content-length: ${body.length}\r\n\r\n${body}`)
    return await readAll(socket)
  }

  /** Reads what has arrived, then accepts no new connections, and closes those without a request. */
  async stopListening (): Promise<void> {
    await this.callers.stopListening()
  }

  stop (): void {
    this.callers.close()
    this.servers.forEach(server => server.stop())
  }
}

/** All bytes received until the connection ends. */
export async function readAll (socket: Socket): Promise<string> {
  let text = ''
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  return text
}
