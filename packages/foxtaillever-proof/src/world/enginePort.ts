/**
 * The engine interface of the router over a simulated wire: bytes take time,
 * connections break, events are lost, repeated and swapped. The router receives
 * events on its own clock, so a paused process receives them late.
 */
import {
  Failure, FailureCode, renderMessages, Verdict,
  type ChatMessage, type Clock, type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type LoadReport, type ResumeCall, type StreamEnd
} from 'foxtaillever-core'
import type { StreamSink } from 'foxtaillever-standins'
import { Left, Right, type Either } from 'purify-ts'
import type { EngineHost } from './engineHost.js'
import type { PausableClock } from './pausableClock.js'

/** One-way delay of the simulated wire, milliseconds. */
const DELAY_MS = 1

interface WireEvent {
  readonly deliver: (listener: GenerateListener) => void
  readonly isLast: boolean
}

/** Receives refusals and calls, to check that a server's own statement takes effect at once. */
export interface PortObserver {
  /** @param crashes how often the engine had crashed and restarted before it refused. */
  onRefusal: (engine: string, crashes: number, failure: Failure) => void
  onCall: (engine: string, crashes: number) => void
}

class Connection implements GenerateStream {
  isOpen = true
  private isPaused = false
  private isSent = false
  /** The connection is broken, though the router doesn't know it yet. */
  private isCut = false
  private waiting: WireEvent[] = []
  private swapped: WireEvent['deliver'] | undefined

  constructor (
    private readonly host: EngineHost,
    private readonly world: Clock,
    private readonly clock: PausableClock,
    private readonly listener: GenerateListener,
    private readonly requestId: string
  ) {
    this.host.cutCallbacks.add(this.cut)
  }

  /** Sends the request once the router allows its first byte to leave. */
  open (arrive: () => void): void {
    this.clock.atTrueTime(this.world.now() + DELAY_MS, () => {
      if (!this.isOpen || this.isCut) {
        return
      }
      if (!this.host.isReachable()) {
        this.fail(Failure.notRun(FailureCode.ConnectionRefused, 'The connection was refused.'))
        return
      }
      if (!this.listener.sent()) {
        this.fail(Failure.notRun(FailureCode.DeadlinePassed, 'Held back before the first byte.'))
        return
      }
      this.isSent = true
      this.world.at(this.world.now() + DELAY_MS, () => {
        if (this.host.isReachable()) {
          arrive()
        }
      })
    })
  }

  readonly cut = (): void => {
    this.isCut = true
    this.host.cutCallbacks.delete(this.cut)
    const verdict = this.isSent ? Verdict.MayHaveRun : Verdict.NotRun
    this.receive(listener => listener.failed(Failure.create(FailureCode.ConnectionLost, verdict, 'The connection broke.')), true)
  }

  receive (say: WireEvent['deliver'], isLast = false): void {
    this.clock.atTrueTime(this.world.now() + DELAY_MS, () => {
      this.waiting.push({ deliver: say, isLast })
      this.deliverWaiting()
    })
  }

  private deliverWaiting (): void {
    while (this.isOpen && !this.isPaused) {
      const event = this.waiting.shift()
      if (!event) {
        return
      }
      if (event.isLast) {
        this.close()
      }
      event.deliver(this.listener)
    }
  }

  /** Applies the faults of the wire to a token. */
  receiveToken (sequence: number, data: string): void {
    const { faults } = this.host
    const event: WireEvent['deliver'] = listener => listener.token(sequence, data)
    if (faults.lost > 0) {
      faults.lost -= 1
      return
    }
    if (faults.swapped > 0 && !this.swapped) {
      faults.swapped -= 1
      this.swapped = event
      return
    }
    this.receive(event)
    if (faults.repeated > 0) {
      faults.repeated -= 1
      this.receive(event)
    }
    this.receiveSwapped()
  }

  receiveSwapped (): void {
    const { swapped } = this
    this.swapped = undefined
    if (swapped) {
      this.receive(swapped)
    }
  }

  fail (failure: Failure): void {
    if (this.isOpen) {
      this.close()
      this.listener.failed(failure)
    }
  }

  private close (): void {
    this.isOpen = false
    this.host.cutCallbacks.delete(this.cut)
  }

  cancel (): void {
    if (this.isOpen && this.isSent) {
      this.world.at(this.world.now() + DELAY_MS, () => this.host.cancel(this.requestId))
    }
    this.close()
  }

  detach (): void {
    this.close()
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    this.clock.atTrueTime(this.world.now(), () => this.deliverWaiting())
  }
}

export class EnginePort implements Engine {
  private constructor (
    private readonly host: EngineHost,
    private readonly world: Clock,
    private readonly clock: PausableClock,
    private readonly observer: PortObserver
  ) {}

  static create (host: EngineHost, world: Clock, clock: PausableClock, observer: PortObserver): EnginePort {
    return new EnginePort(host, world, clock, observer)
  }

  generate (call: GenerateCall, listener: GenerateListener): GenerateStream {
    const connection = new Connection(this.host, this.world, this.clock, listener, call.requestId)
    this.observer.onCall(this.host.options.name, this.host.crashes)
    connection.open(() => {
      this.host.submit(readGeneration(call), call.idempotencyKey, createSink(connection)).ifLeft(failure => this.refuse(connection, failure))
    })
    return connection
  }

  resume (call: ResumeCall, listener: GenerateListener): GenerateStream {
    const connection = new Connection(this.host, this.world, this.clock, listener, call.requestId)
    connection.open(() => {
      this.host.resume(call.streamId, call.after, createSink(connection)).ifLeft(failure => this.refuse(connection, failure))
    })
    return connection
  }

  private refuse (connection: Connection, failure: Failure): void {
    const { crashes, options } = this.host
    connection.receive(listener => {
      this.observer.onRefusal(options.name, crashes, failure)
      listener.failed(failure)
    }, true)
  }

  cancel (id: string): void {
    this.world.at(this.world.now() + DELAY_MS, () => this.host.cancel(id))
  }

  load (): Promise<Either<Failure, LoadReport>> {
    if (!this.host.isReachable()) {
      return Promise.resolve(Left(Failure.notRun(FailureCode.ConnectionLost, 'The engine is down.')))
    }
    return Promise.resolve(Right(this.host.load()))
  }
}

function readGeneration (call: GenerateCall) {
  const body = call.body as { prompt?: string, messages?: readonly ChatMessage[], max_tokens?: number }
  return {
    requestId: call.requestId,
    account: call.account,
    model: call.model,
    prompt: body.messages ? renderMessages(body.messages) : body.prompt ?? '',
    maxTokens: body.max_tokens ?? 1,
    continueAfter: call.continueAfter,
    priority: 1,
    expectedIncarnation: call.expectedIncarnation,
    expectedWeights: call.weightsVersion
  }
}

function createSink (connection: Connection): StreamSink {
  return {
    started: start => connection.receive(listener => listener.started(start)),
    token: (sequence, text) => connection.receiveToken(sequence, text),
    finished: (_sequence: number, end: StreamEnd) => {
      connection.receiveSwapped()
      connection.receive(listener => listener.finished(end), true)
    },
    failed: failure => connection.receive(listener => listener.failed(failure), true)
  }
}
