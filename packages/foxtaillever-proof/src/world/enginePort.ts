/**
 * The engine interface of the router over a simulated wire: bytes take time,
 * connections break, events are lost, repeated and swapped. What the router
 * hears, it hears on its own clock, so a paused process hears it late.
 */
import {
  Failure, FailureCode, renderMessages, Verdict,
  type ChatMessage, type Clock, type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type LoadReport, type ResumeCall, type StreamEnd
} from 'foxtaillever-core'
import type { StreamSink } from 'foxtaillever-standins'
import { Left, Right, type Either } from 'purify-ts'
import type { EngineHost } from './engineHost.js'
import type { HeldClock } from './heldClock.js'

/** One way on the simulated wire, milliseconds. */
const DELAY_MS = 1

interface Word {
  readonly say: (listener: GenerateListener) => void
  readonly isLast: boolean
}

/** Hears of refusals and of calls, to see whether a server's own word counts at once. */
export interface PortObserver {
  /** @param crashes how often the engine had come back empty when it refused. */
  refused: (engine: string, crashes: number, failure: Failure) => void
  called: (engine: string, crashes: number) => void
}

class Connection implements GenerateStream {
  isOpen = true
  private isPaused = false
  private isSent = false
  /** The wire is broken, though the router has not heard of it yet. */
  private isCut = false
  private waiting: Word[] = []
  private swapped: Word['say'] | undefined

  constructor (
    private readonly host: EngineHost,
    private readonly world: Clock,
    private readonly clock: HeldClock,
    private readonly listener: GenerateListener,
    private readonly requestId: string
  ) {
    this.host.cutters.add(this.cut)
  }

  /** Asks the router whether the byte may leave, then lets it travel. */
  open (arrive: () => void): void {
    this.clock.atWorld(this.world.now() + DELAY_MS, () => {
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
    this.host.cutters.delete(this.cut)
    const verdict = this.isSent ? Verdict.MayHaveRun : Verdict.NotRun
    this.hear(listener => listener.failed(Failure.create(FailureCode.ConnectionLost, verdict, 'The connection broke.')), true)
  }

  hear (say: Word['say'], isLast = false): void {
    this.clock.atWorld(this.world.now() + DELAY_MS, () => {
      this.waiting.push({ say, isLast })
      this.drain()
    })
  }

  private drain (): void {
    while (this.isOpen && !this.isPaused) {
      const word = this.waiting.shift()
      if (!word) {
        return
      }
      if (word.isLast) {
        this.close()
      }
      word.say(this.listener)
    }
  }

  /** A token passes the wire's faults. */
  hearToken (sequence: number, data: string): void {
    const { faults } = this.host
    const word: Word['say'] = listener => listener.token(sequence, data)
    if (faults.lost > 0) {
      faults.lost -= 1
      return
    }
    if (faults.swapped > 0 && !this.swapped) {
      faults.swapped -= 1
      this.swapped = word
      return
    }
    this.hear(word)
    if (faults.repeated > 0) {
      faults.repeated -= 1
      this.hear(word)
    }
    this.hearSwapped()
  }

  hearSwapped (): void {
    const { swapped } = this
    this.swapped = undefined
    if (swapped) {
      this.hear(swapped)
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
    this.host.cutters.delete(this.cut)
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
    this.clock.atWorld(this.world.now(), () => this.drain())
  }
}

export class EnginePort implements Engine {
  private constructor (
    private readonly host: EngineHost,
    private readonly world: Clock,
    private readonly clock: HeldClock,
    private readonly observer: PortObserver
  ) {}

  static create (host: EngineHost, world: Clock, clock: HeldClock, observer: PortObserver): EnginePort {
    return new EnginePort(host, world, clock, observer)
  }

  generate (call: GenerateCall, listener: GenerateListener): GenerateStream {
    const connection = new Connection(this.host, this.world, this.clock, listener, call.requestId)
    this.observer.called(this.host.options.name, this.host.crashes)
    connection.open(() => {
      this.host.submit(readGeneration(call), call.idempotencyKey, sinkOf(connection)).ifLeft(failure => this.refuse(connection, failure))
    })
    return connection
  }

  resume (call: ResumeCall, listener: GenerateListener): GenerateStream {
    const connection = new Connection(this.host, this.world, this.clock, listener, call.requestId)
    connection.open(() => {
      this.host.resume(call.streamId, call.after, sinkOf(connection)).ifLeft(failure => this.refuse(connection, failure))
    })
    return connection
  }

  private refuse (connection: Connection, failure: Failure): void {
    const { crashes, options } = this.host
    connection.hear(listener => {
      this.observer.refused(options.name, crashes, failure)
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

function sinkOf (connection: Connection): StreamSink {
  return {
    started: start => connection.hear(listener => listener.started(start)),
    token: (sequence, text) => connection.hearToken(sequence, text),
    finished: (_sequence: number, end: StreamEnd) => {
      connection.hearSwapped()
      connection.hear(listener => listener.finished(end), true)
    },
    failed: failure => connection.hear(listener => listener.failed(failure), true)
  }
}
