/**
 * Plain services (lookups, exports) have limits and queues of their own and
 * never see those of language work.
 *
 * Behind one common queue a citation lookup of 5 ms waits for judgments of 5 s,
 * and partners bill against it. Behind no queue at all one stalled service
 * collects calls until the instance has no memory left. So each service has its
 * own count of calls at once, each of its servers an equal part of it, and a
 * short queue whose entries end at their stored deadline.
 */
import { AdministrativeState, Failure, FailureCode, type BackendServer, type Configuration, type PlainService } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

/** Waiting calls for each one that runs; a call that waits longer than two others run is better refused. */
const QUEUE_SHARE = 2

/** A server that failed this often in a row is passed over while others do not. */
const FAILURES_TO_AVOID = 3

/** For so long, milliseconds. */
const AVOIDED_MS = 2000

/** Assumed time of a call before one was measured, milliseconds. */
const FIRST_CALL_MS = 50

/** About the last five calls count. */
const CALL_GAIN = 0.2

export interface ServiceCall {
  readonly id: string
  readonly service: string
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** Servers at which the call has failed; chosen again only when there is no other. */
  readonly failedAt?: readonly string[]
}

/** Leave to send one call; given back by `release`. */
export interface ServicePass {
  readonly callId: string
  readonly service: string
  readonly server: string
}

/** What became of a call that had a pass. */
export enum CallOutcome {
  Answered = 'answered',
  Failed = 'failed'
}

/** Called once, at once or later in a `release`, `tick` or `configure`. */
export type PassListener = (result: Either<Failure, ServicePass>) => void

interface WaitingCall {
  readonly call: ServiceCall
  readonly answer: PassListener
}

interface RunningCall {
  readonly service: ServiceState
  readonly server: ServiceServer
  readonly since: number
}

interface ServiceServer {
  readonly name: string
  running: number
  failuresInRow: number
  /** Milliseconds of Unix time. */
  avoidedUntil: number
}

interface ServiceState {
  configured: PlainService
  servers: ServiceServer[]
  running: number
  callMs: number
  readonly waiting: Map<string, WaitingCall>
}

export class ServiceGate {
  private readonly services = new Map<string, ServiceState>()
  private readonly running = new Map<string, RunningCall>()
  private readonly leaving = new Set<string>()
  private backends: Readonly<Record<string, BackendServer>> = {}

  private constructor () {}

  static create (): ServiceGate {
    return new ServiceGate()
  }

  configure (configuration: Configuration, now: number): void {
    this.backends = configuration.servers
    for (const [name, state] of this.services) {
      if (!configuration.services[name]) {
        this.services.delete(name)
        state.waiting.forEach(({ answer }) => answer(Left(Failure.notRun(FailureCode.UnknownRoute, 'The service is no longer configured.'))))
      }
    }
    Object.values(configuration.services).forEach(service => this.put(service, now))
  }

  /** Takes the word of the instance list, or of the server itself. */
  observeLeaving (server: string, leaving: boolean): void {
    if (leaving) {
      this.leaving.add(server)
    } else {
      this.leaving.delete(server)
    }
  }

  /** Answers with a pass, now or when one is free, or with a refusal. */
  acquire (call: ServiceCall, now: number, answer: PassListener): void {
    const state = this.services.get(call.service)
    if (!state) {
      answer(Left(Failure.notRun(FailureCode.UnknownRoute, 'No such service is configured.')))
      return
    }
    const refusal = this.refuse(state, call, now)
    if (refusal) {
      answer(Left(refusal))
      return
    }
    state.waiting.set(call.id, { call, answer })
    this.serve(state, now)
  }

  /** The call with a pass has ended. */
  release (callId: string, outcome: CallOutcome, now: number): void {
    const running = this.running.get(callId)
    if (!running) {
      return
    }
    this.running.delete(callId)
    const { service, server } = running
    service.running -= 1
    server.running -= 1
    service.callMs += (now - running.since - service.callMs) * CALL_GAIN
    server.failuresInRow = outcome === CallOutcome.Failed ? server.failuresInRow + 1 : 0
    server.avoidedUntil = server.failuresInRow >= FAILURES_TO_AVOID ? now + AVOIDED_MS : 0
    this.serve(service, now)
  }

  /** Forgets a waiting call whose caller has gone. */
  withdraw (callId: string): void {
    this.services.forEach(({ waiting }) => waiting.delete(callId))
  }

  /** Refuses the waiting calls whose deadline has come, and serves the others. */
  tick (now: number): void {
    for (const state of this.services.values()) {
      for (const { call, answer } of [...state.waiting.values()]) {
        if (call.deadline <= now) {
          state.waiting.delete(call.id)
          answer(Left(Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed while the call waited.')))
        }
      }
      this.serve(state, now)
    }
  }

  /** State for the dump. */
  dump (): Record<string, { running: number, waiting: number }> {
    return Object.fromEntries([...this.services].map(([name, { running, waiting }]) => [name, { running, waiting: waiting.size }]))
  }

  private put (configured: PlainService, now: number): void {
    const known = this.services.get(configured.name)
    const state = known ?? { configured, servers: [], running: 0, callMs: FIRST_CALL_MS, waiting: new Map<string, WaitingCall>() }
    state.configured = configured
    state.servers = configured.servers.map(name => state.servers.find(server => server.name === name) ?? { name, running: 0, failuresInRow: 0, avoidedUntil: 0 })
    this.services.set(configured.name, state)
    this.serve(state, now)
  }

  private refuse (state: ServiceState, call: ServiceCall, now: number): Failure | undefined {
    const limit = state.configured.concurrentRequests
    if (call.deadline <= now) {
      return Failure.notRun(FailureCode.DeadlinePassed, 'The deadline had passed on arrival.')
    }
    const waitMs = (state.running + state.waiting.size - limit + 1) * state.callMs / limit
    if (state.waiting.size >= Math.max(1, limit * QUEUE_SHARE)) {
      return Failure.notRun(FailureCode.Overloaded, 'Too many calls wait for the service.', Math.ceil(now + state.callMs / limit))
    }
    if (waitMs > call.deadline - now) {
      return Failure.notRun(FailureCode.DeadlineUnreachable, 'Too many calls wait for the deadline.', Math.ceil(now + waitMs - (call.deadline - now)))
    }
    return undefined
  }

  private serve (state: ServiceState, now: number): void {
    for (const waiting of [...state.waiting.values()]) {
      const server = this.chooseServer(state, waiting.call, now)
      if (!server || state.running >= state.configured.concurrentRequests) {
        return
      }
      // An answer given in this loop may have withdrawn or served others.
      if (!state.waiting.delete(waiting.call.id)) {
        continue
      }
      this.grant(state, server, waiting, now)
    }
  }

  private grant (state: ServiceState, server: ServiceServer, { call, answer }: WaitingCall, now: number): void {
    state.running += 1
    server.running += 1
    this.running.set(call.id, { service: state, server, since: now })
    answer(Right({ callId: call.id, service: call.service, server: server.name }))
  }

  /** The open server with the fewest calls; one that keeps failing only when all do. */
  private chooseServer (state: ServiceState, { failedAt = [] }: ServiceCall, now: number): ServiceServer | undefined {
    const open = state.servers.filter(({ name }) => this.isOpen(name))
    const most = Math.ceil(state.configured.concurrentRequests / Math.max(1, open.length))
    const free = open.filter(({ running }) => running < most)
    const sound = free.filter(({ avoidedUntil }) => avoidedUntil <= now)
    const untried = sound.filter(({ name }) => !failedAt.includes(name))
    return [untried, sound, free].find(choice => choice.length > 0)
      ?.reduce<ServiceServer | undefined>((best, server) => best && best.running <= server.running ? best : server, undefined)
  }

  private isOpen (server: string): boolean {
    return this.backends[server]?.state === AdministrativeState.InService && !this.leaving.has(server)
  }
}
