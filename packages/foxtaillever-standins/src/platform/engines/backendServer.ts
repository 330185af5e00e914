/**
 * Stand-in of a server of the users' platform on loopback, a model engine or a
 * plain server. It checks which server a request expects, runs the request or
 * answers that it did not run, and records all requests that arrived.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { hashNumber, type Cancellation, type Clock } from 'foxtaillever-core'
import { readBody } from '../readBody.js'
import { AnswerStall, type StallPlan } from './answerStall.js'
import { AnswerWriter, headerOf, RunEnd, type Arrival, type StatedAnswer } from './answerWriter.js'
import { EndlessWriter, type EndlessAnswer } from './endlessAnswers.js'
import { ServerFault } from './serverFaults.js'

export const HEALTH_PATH = '/health'

/** How a server crashes on a level of a prompt. */
export type LevelFault = ServerFault.CrashAtStart | ServerFault.CrashAfterStart

/** From the start of an answer to the crash that it causes, milliseconds. */
const CRASH_DELAY_MS = { least: 20, most: 120 }

/** How a server crashes on a request. */
export interface RequestCrash {
  /** From the arrival of the request's head, or of its body, milliseconds. */
  readonly afterMs: number
  readonly isBodyRead: boolean
}

/** Runs the requests of a kind of server. */
export interface Runner {
  /** Returns the status of the refusal, or undefined if the request may run. */
  readonly admit: (request: IncomingMessage) => number | undefined
  /** Runs the request; returns false if there is no room. */
  readonly run: (request: IncomingMessage, writer: AnswerWriter, onRunStarted: () => void) => boolean
  readonly cancel: (requestId: string) => void
  /** Clears all state, since the process ended. */
  readonly reset: () => void
  /** Sets how many requests may wait in addition to those that run. */
  readonly setMaxWaiting: (count: number) => void
  /** Calls about the server itself, by method and path. */
  readonly calls: Readonly<Record<string, (request: IncomingMessage, body: Buffer) => Promise<{ readonly status: number, readonly body?: object }>>>
}

export interface BackendServerOptions {
  readonly name: string
  readonly clock: Clock
  readonly softwareVersion: string
  /** Time from a crash to the restart, milliseconds. */
  readonly restartMs: number
  /** Whether its reports and its entry state when it started; they do if not given. */
  readonly statesStart?: boolean
  readonly onCrashed: (server: BackendServer) => void
  readonly onStarted: (server: BackendServer) => void
}

/** How many requests a second the server can reject for want of room; it fails if it must reject more. */
interface Brittleness {
  readonly perSecond: number
  /** It fails from then on, milliseconds of Unix time. */
  readonly from: number
}

/** Time from the first statement of a brittle server until it may fail, milliseconds. */
const BRITTLE_NOTICE_MS = 3000

export class BackendServer {
  /** Each applies to one of the next requests that would run. */
  readonly faults: ServerFault[] = []
  readonly arrivals: Arrival[] = []
  isLeaving = false
  /** Whether its answers state that it leaves; if not, only its entry does. */
  statesLeaving = true
  /** By how much its clock, which dates its starts, is ahead, milliseconds; in force from the next start on. */
  clockAheadMs = 0
  /** Version of the software that runs. */
  softwareVersion: string
  /** Version of the software from the next start on. */
  nextSoftwareVersion: string
  /** Requests a second that it accepts from all instances together, as stated in its answers; undefined for no limit. */
  statedLimit: string | undefined
  /** If set, it refuses all requests and requests a backoff of this many seconds, as stated in its answers. */
  retryAfter: string | undefined
  /** If set, its answers to requests do not end. */
  endlessRequests: EndlessAnswer | undefined
  /** If set, its answers to health probes and calls about itself do not end. */
  endlessCalls: EndlessAnswer | undefined
  readonly endless = EndlessWriter.create()
  /** When it failed because it had to reject too many requests, milliseconds of Unix time. */
  readonly falls: number[] = []
  /** When it crashed because of a level of a prompt, milliseconds of Unix time. */
  readonly levelCrashes: number[] = []
  /** How the server crashes on prompts with a level, by the level's id. */
  crashingLevels: ReadonlyMap<string, LevelFault> = new Map()
  /** How the server crashes on requests with a path, by the path. */
  crashingPaths: ReadonlyMap<string, RequestCrash> = new Map()
  /** Whether, when and for how long the server is silent while it works on a request. */
  stallOf: (requestId: string) => StallPlan | undefined = () => undefined
  /** When it crashed because of a request's path, milliseconds of Unix time. */
  readonly pathCrashes: number[] = []
  private brittleness: Brittleness | undefined
  /** When it rejected requests for want of room, milliseconds of Unix time. */
  private rejections: number[] = []
  address = ''
  /** Start of this incarnation, milliseconds of Unix time. */
  startedAt: number
  private idNumber = 1
  private readonly server: Server
  private isClosed = false
  private isRestarting = false
  private cancelRestart: Cancellation = () => {}

  private constructor (readonly options: BackendServerOptions, private readonly runner: Runner) {
    this.startedAt = Math.floor(options.clock.now())
    this.softwareVersion = this.nextSoftwareVersion = options.softwareVersion
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch((error: Error) => response.destroy(error))
    })
  }

  static create (options: BackendServerOptions, runner: Runner): BackendServer {
    return new BackendServer(options, runner)
  }

  /** Changes at each restart, unless the crash keeps it. */
  get id (): string {
    return `${this.options.name}-${this.idNumber}`
  }

  /** How often a request began to run here. */
  runsOf (requestId: string): number {
    return this.arrivals.filter(arrival => arrival.hasRun && arrival.requestId === requestId).length
  }

  /**
   * States from now on how many requests a second it can reject; undefined for any number. Some time later it lets fewer
   * requests wait.
   */
  setBrittle (perSecond: number | undefined, maxWaiting: number): void {
    const { clock } = this.options
    this.brittleness = perSecond === undefined ? undefined : { perSecond, from: clock.now() + BRITTLE_NOTICE_MS }
    clock.at(clock.now() + (perSecond === undefined ? 0 : BRITTLE_NOTICE_MS), () => this.runner.setMaxWaiting(maxWaiting))
  }

  async listen (host = '127.0.0.1'): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${(this.server.address() as AddressInfo).port}`
    this.options.onStarted(this)
  }

  /** Ends at once and restarts at the same address, with a new id or with the same one. */
  crash (keepsId = false): void {
    // A request that was in flight when the server ended may still crash it; that must not restart a closed server, or start it twice.
    if (this.isClosed || this.isRestarting) {
      return
    }
    const { clock, restartMs, onCrashed, onStarted } = this.options
    const [host = '', port] = this.address.split(':')
    onCrashed(this)
    this.runner.reset()
    this.statedLimit = undefined
    this.retryAfter = undefined
    this.stopListening()
    this.idNumber += keepsId ? 0 : 1
    this.isRestarting = true
    this.cancelRestart = clock.at(clock.now() + restartMs, () => {
      this.startedAt = Math.floor(clock.now() + this.clockAheadMs)
      this.softwareVersion = this.nextSoftwareVersion
      this.server.listen(Number(port), host, () => {
        this.isRestarting = false
        onStarted(this)
      })
    })
  }

  close (): void {
    this.isClosed = true
    this.cancelRestart()
    this.stopListening()
  }

  private stopListening (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { method = '', url = '' } = request
    const fault = this.crashingPaths.get(url)
    if (fault?.isBodyRead === false) {
      this.recordArrival(request, Buffer.alloc(0))
      this.crashOnPath(fault)
      return
    }
    const body = await readBody(request)
    if (fault) {
      this.recordArrival(request, body)
      this.crashOnPath(fault)
      return
    }
    const call = this.runner.calls[`${method} ${url.split('?')[0]}`]
    const endless = url === HEALTH_PATH || call ? this.endlessCalls : this.endlessRequests
    if (endless) {
      this.recordArrival(request, body)
      this.endless.write(endless, headerOf(request, 'x-request-id'), request.socket)
      return
    }
    const expected = headerOf(request, 'x-expect-instance')
    if (expected !== '' && expected !== this.id) {
      this.recordArrival(request, body)
      response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Not-Executed': 1 }).end()
    } else if (url === HEALTH_PATH) {
      response.writeHead(this.isLeaving ? 503 : 200, { 'X-Instance-Id': this.id, ...this.statementHeaders() }).end()
    } else if (call) {
      const answer = await call(request, body)
      response.writeHead(answer.status, { 'Content-Type': 'application/json', ...this.statementHeaders() }).end(answer.body && JSON.stringify({ ...answer.body, ...(this.options.statesStart === false ? {} : { born: this.startedAt }) }))
    } else {
      this.run(request, response, this.recordArrival(request, body))
    }
  }

  private crashOnPath ({ afterMs }: RequestCrash): void {
    const { clock } = this.options
    const { startedAt } = this
    const crash = (): void => {
      if (startedAt === this.startedAt && !this.isRestarting && !this.isClosed) {
        this.pathCrashes.push(clock.now())
        this.crash()
      }
    }
    if (afterMs === 0) {
      crash()
    } else {
      clock.at(clock.now() + afterMs, crash)
    }
  }

  /** Headers of every answer in which the server states its limit and that it leaves. */
  private statementHeaders (): Readonly<Record<string, string>> {
    return {
      ...(this.statedLimit === undefined ? {} : { 'Server-Limit': this.statedLimit }),
      ...(this.isLeaving && this.statesLeaving ? { 'Server-Leaving': '1' } : {}),
      ...(this.brittleness ? { 'Server-Brittle': String(this.brittleness.perSecond) } : {})
    }
  }

  private recordArrival (request: IncomingMessage, body: Buffer): Arrival {
    const { method = '', url = '', headers } = request
    const arrival: Arrival = { requestId: headerOf(request, 'x-request-id'), method, path: url, headers, body: body.toString(), at: this.options.clock.now(), startedAt: this.startedAt, statedLimit: this.statedLimit, answer: undefined, hasRun: false, end: undefined }
    this.arrivals.push(arrival)
    return arrival
  }

  private createStatedAnswer (backoffMs: number): StatedAnswer {
    return { at: this.options.clock.now(), isLeaving: this.isLeaving, backoffMs }
  }

  private run (request: IncomingMessage, response: ServerResponse, arrival: Arrival): void {
    const { requestId } = arrival
    const { clock } = this.options
    const refuse = (status: number, headers: Readonly<Record<string, string>> = {}): void => {
      response.writeHead(status, { 'X-Request-Id': requestId, 'X-Instance-Id': this.id, 'X-Not-Executed': 1, ...this.statementHeaders(), ...headers }).end()
    }
    if (this.retryAfter !== undefined) {
      arrival.answer = this.createStatedAnswer(Number(this.retryAfter) * 1000)
      refuse(503, { 'Retry-After': this.retryAfter })
      return
    }
    const status = requestId === '' ? 400 : this.runner.admit(request)
    if (status !== undefined) {
      refuse(status)
      return
    }
    const levelFault = this.levelFaultOf(request)
    const fault = levelFault ?? this.faults.shift()
    if (fault === ServerFault.Silent) {
      return
    }
    const writer = AnswerWriter.create(response, {
      requestId,
      softwareVersion: this.softwareVersion,
      fault,
      stall: AnswerStall.create(clock, fault === undefined ? this.stallOf(requestId) : undefined),
      crash: () => {
        if (levelFault !== undefined && !this.isRestarting) {
          this.levelCrashes.push(clock.now())
        }
        this.crash()
      },
      crashSoon: () => {
        const { startedAt } = this
        const delay = CRASH_DELAY_MS.least + hashNumber(requestId) % (CRASH_DELAY_MS.most - CRASH_DELAY_MS.least)
        clock.at(clock.now() + delay, () => {
          if (startedAt === this.startedAt && !this.isRestarting && !this.isClosed) {
            this.levelCrashes.push(clock.now())
            this.crash()
          }
        })
      },
      createStatementHeaders: () => {
        arrival.answer = this.createStatedAnswer(0)
        return this.statementHeaders()
      }
    })
    const { startedAt } = this
    response.on('close', () => {
      this.runner.cancel(requestId)
      const isServerUp = startedAt === this.startedAt && !this.isRestarting && !this.isClosed
      arrival.end = { how: response.writableEnded && fault !== ServerFault.Foreign ? RunEnd.Finished : fault === undefined && isServerUp ? RunEnd.Cancelled : RunEnd.BrokenOff, at: clock.now() }
    })
    if (!this.runner.run(request, writer, () => { arrival.hasRun = true })) {
      refuse(503)
      this.recordRejection()
    }
  }

  /** The last level of a prompt is the request's own. */
  private levelFaultOf (request: IncomingMessage): LevelFault | undefined {
    if (this.crashingLevels.size === 0) {
      return undefined
    }
    const levels = headerOf(request, 'x-prompt-prefix').split(',').slice(0, -1).map(entry => entry.split(':')[0] ?? '')
    return levels.map(level => this.crashingLevels.get(level)).find(fault => fault !== undefined)
  }

  private recordRejection (): void {
    const now = this.options.clock.now()
    this.rejections = [...this.rejections.filter(at => at + 1000 > now), now]
    if (this.brittleness && now >= this.brittleness.from && this.rejections.length > this.brittleness.perSecond) {
      this.falls.push(now)
      this.rejections = []
      this.crash()
    }
  }
}
