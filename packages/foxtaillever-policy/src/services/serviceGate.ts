/**
 * Plain services (lookups, exports) have limits and queues of their own and
 * never see those of language work.
 *
 * Behind one common queue a citation lookup of 5 ms waits for judgments of 5 s,
 * and partners bill against it. Behind no queue at all one stalled service
 * collects calls until the instance has no memory left. So each service has its
 * own count of calls at once and a short queue whose entries end at their stored
 * deadline. Which server a call goes to is decided when it is sent.
 */
import { Failure, FailureCode, type Configuration, type PlainService } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

/** Waiting calls for each one that runs; a call that waits longer than two others run is better refused. */
const QUEUE_SHARE = 2

/** Assumed time of a call before one was measured, milliseconds. */
const FIRST_CALL_MS = 50

/** About the last five calls count. */
const CALL_GAIN = 0.2

export interface ServiceCall {
  readonly id: string
  readonly service: string
  /** Milliseconds of Unix time. */
  readonly deadline: number
}

/**
 * Leave to send the call, given back by `release`, or why there is none. Called
 * once, at once or later in a `release`, `tick` or `configure`.
 */
export type PassListener = (result: Either<Failure, void>) => void

interface WaitingCall {
  readonly call: ServiceCall
  readonly answer: PassListener
}

interface RunningCall {
  readonly service: ServiceState
  readonly since: number
}

interface ServiceState {
  configured: PlainService
  running: number
  callMs: number
  readonly waiting: Map<string, WaitingCall>
}

export class ServiceGate {
  private readonly services = new Map<string, ServiceState>()
  private readonly running = new Map<string, RunningCall>()

  private constructor () {}

  static create (): ServiceGate {
    return new ServiceGate()
  }

  configure (configuration: Configuration, now: number): void {
    for (const [name, state] of this.services) {
      if (!configuration.services[name]) {
        this.services.delete(name)
        state.waiting.forEach(({ answer }) => answer(Left(Failure.notRun(FailureCode.UnknownRoute, 'The service is no longer configured.'))))
      }
    }
    Object.values(configuration.services).forEach(service => this.put(service, now))
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
  release (callId: string, now: number): void {
    const running = this.running.get(callId)
    if (!running) {
      return
    }
    this.running.delete(callId)
    const { service, since } = running
    service.running -= 1
    service.callMs += (now - since - service.callMs) * CALL_GAIN
    this.serve(service, now)
  }

  /** Forgets a waiting call whose caller has gone. */
  withdraw (callId: string): void {
    this.services.forEach(({ waiting }) => waiting.delete(callId))
  }

  /** Refuses all that wait, at a shutdown. */
  refuseAll (failure: Failure): void {
    for (const { waiting } of this.services.values()) {
      const calls = [...waiting.values()]
      waiting.clear()
      calls.forEach(({ answer }) => answer(Left(failure)))
    }
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
    const state = known ?? { configured, running: 0, callMs: FIRST_CALL_MS, waiting: new Map<string, WaitingCall>() }
    state.configured = configured
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
    for (const { call, answer } of [...state.waiting.values()]) {
      if (state.running >= state.configured.concurrentRequests) {
        return
      }
      // An answer given in this loop may have withdrawn or served others.
      if (state.waiting.delete(call.id)) {
        state.running += 1
        this.running.set(call.id, { service: state, since: now })
        answer(Right(undefined))
      }
    }
  }
}
