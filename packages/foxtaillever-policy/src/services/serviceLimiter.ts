/**
 * Limits the concurrent calls of each plain service (lookups, exports), separate
 * from language work.
 *
 * In one common queue a citation lookup of 5 ms would wait for judgments of 5 s,
 * and partners bill against it. Without any limit, calls to one stalled service
 * would pile up until the instance has no memory left. So each service has its
 * own limit of concurrent calls and a short queue whose entries expire at their
 * stored deadline. The server of a call is chosen when the call is sent.
 */
import { Failure, FailureCode, type Configuration, type PlainService } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

/** Waiting calls for each running one; a call that would wait longer than two others run is refused instead. */
const QUEUE_SHARE = 2

/** Assumed time of a call before the first one was measured, milliseconds. */
const INITIAL_CALL_MS = 50

/** The mean covers about the last five calls. */
const CALL_GAIN = 0.2

export interface ServiceCall {
  readonly id: string
  readonly service: string
  /** Milliseconds of Unix time. */
  readonly deadline: number
}

/**
 * Gets the permission to send the call, which holds a slot until `releaseSlot`,
 * or a refusal. Called exactly once: at once, or later from any method of the
 * limiter that frees slots or refuses calls.
 */
export type SlotListener = (result: Either<Failure, void>) => void

interface WaitingCall {
  readonly call: ServiceCall
  readonly listener: SlotListener
}

interface RunningCall {
  readonly service: ServiceState
  readonly since: number
}

interface ServiceState {
  configured: PlainService
  running: number
  meanCallMs: number
  readonly waiting: Map<string, WaitingCall>
}

export class ServiceLimiter {
  private readonly services = new Map<string, ServiceState>()
  private readonly running = new Map<string, RunningCall>()

  private constructor () {}

  static create (): ServiceLimiter {
    return new ServiceLimiter()
  }

  configure (configuration: Configuration, now: number): void {
    for (const [name, state] of this.services) {
      if (!configuration.services[name]) {
        this.services.delete(name)
        state.waiting.forEach(({ listener }) => listener(Left(Failure.notRun(FailureCode.UnknownRoute, 'The service is no longer configured.'))))
      }
    }
    Object.values(configuration.services).forEach(service => this.configureService(service, now))
  }

  /** Calls the listener when the call gets a slot, now or later, or when it is refused. */
  acquireSlot (call: ServiceCall, now: number, listener: SlotListener): void {
    const state = this.services.get(call.service)
    if (!state) {
      listener(Left(Failure.notRun(FailureCode.UnknownRoute, 'No such service is configured.')))
      return
    }
    const refusal = this.checkRefusal(state, call, now)
    if (refusal) {
      listener(Left(refusal))
      return
    }
    state.waiting.set(call.id, { call, listener })
    this.grantSlots(state, now)
  }

  /** Frees the slot of a call that has ended. */
  releaseSlot (callId: string, now: number): void {
    const running = this.running.get(callId)
    if (!running) {
      return
    }
    this.running.delete(callId)
    const { service, since } = running
    service.running -= 1
    service.meanCallMs += (now - since - service.meanCallMs) * CALL_GAIN
    this.grantSlots(service, now)
  }

  /** Removes a waiting call whose caller has disconnected. */
  withdrawCall (callId: string): void {
    this.services.forEach(({ waiting }) => waiting.delete(callId))
  }

  /** Refuses all waiting calls, at a shutdown. */
  refuseAll (failure: Failure): void {
    for (const { waiting } of this.services.values()) {
      const calls = [...waiting.values()]
      waiting.clear()
      calls.forEach(({ listener }) => listener(Left(failure)))
    }
  }

  /** Refuses the waiting calls whose deadline has passed, and grants free slots to the others. */
  tick (now: number): void {
    for (const state of this.services.values()) {
      for (const { call, listener } of [...state.waiting.values()]) {
        if (call.deadline <= now) {
          state.waiting.delete(call.id)
          listener(Left(Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed while the call waited.')))
        }
      }
      this.grantSlots(state, now)
    }
  }

  /** State for the dump. */
  dump (): Record<string, { running: number, waiting: number }> {
    return Object.fromEntries([...this.services].map(([name, { running, waiting }]) => [name, { running, waiting: waiting.size }]))
  }

  private configureService (configured: PlainService, now: number): void {
    const known = this.services.get(configured.name)
    const state = known ?? { configured, running: 0, meanCallMs: INITIAL_CALL_MS, waiting: new Map<string, WaitingCall>() }
    state.configured = configured
    this.services.set(configured.name, state)
    this.grantSlots(state, now)
  }

  private checkRefusal (state: ServiceState, call: ServiceCall, now: number): Failure | undefined {
    const limit = state.configured.concurrentRequests
    if (call.deadline <= now) {
      return Failure.notRun(FailureCode.DeadlinePassed, 'The deadline had passed on arrival.')
    }
    const waitMs = (state.running + state.waiting.size - limit + 1) * state.meanCallMs / limit
    if (state.waiting.size >= Math.max(1, limit * QUEUE_SHARE)) {
      return Failure.notRun(FailureCode.Overloaded, 'Too many calls wait for the service.', Math.ceil(now + state.meanCallMs / limit))
    }
    if (waitMs > call.deadline - now) {
      return Failure.notRun(FailureCode.DeadlineUnreachable, 'Too many calls wait for the deadline.', Math.ceil(now + waitMs - (call.deadline - now)))
    }
    return undefined
  }

  private grantSlots (state: ServiceState, now: number): void {
    for (const { call, listener } of [...state.waiting.values()]) {
      if (state.running >= state.configured.concurrentRequests) {
        return
      }
      // A listener called in this loop may have withdrawn calls or granted slots to others.
      if (state.waiting.delete(call.id)) {
        state.running += 1
        this.running.set(call.id, { service: state, since: now })
        listener(Right(undefined))
      }
    }
  }
}
