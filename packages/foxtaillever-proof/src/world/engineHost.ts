/**
 * A stand-in engine as several processes reach it. Its stream ids are numbered
 * anew after each crash, as those of careless engines are, so that an id alone
 * never names a stream. All that runs is told to the oracle.
 */
import type { Clock, Failure, LoadReport } from 'foxtaillever-core'
import { EngineModel, type EngineOptions, type Generation, type StreamSink } from 'foxtaillever-standins'
import type { Either } from 'purify-ts'

export interface EngineRun {
  readonly engine: string
  readonly requestId: string
  readonly account: string
  readonly idempotencyKey: string
}

/** Faults of the connections to one engine; each counts the events still to be hit. */
export interface ConnectionFaults {
  lost: number
  repeated: number
  swapped: number
}

export class EngineHost {
  readonly faults: ConnectionFaults = { lost: 0, repeated: 0, swapped: 0 }
  readonly cutters = new Set<() => void>()
  private model: EngineModel
  private readonly realIds = new Map<string, string>()
  private readonly names = new Map<string, string>()
  private isDown = false
  private weightsVersion: string
  /** Times it came back empty. */
  crashes = 0

  private constructor (readonly options: EngineOptions, private readonly clock: Clock, private readonly onRun: (run: EngineRun) => void) {
    this.model = EngineModel.create(options, clock)
    this.weightsVersion = options.weightsVersion
  }

  static create (options: EngineOptions, clock: Clock, onRun: (run: EngineRun) => void): EngineHost {
    return new EngineHost(options, clock, onRun)
  }

  isReachable (): boolean {
    return !this.isDown
  }

  submit (generation: Generation, idempotencyKey: string, sink: StreamSink): Either<Failure, string> {
    const submitted = this.model.submit(generation, this.rename(sink))
    submitted.ifRight(streamId => {
      this.nameOf(streamId)
      const { requestId, account } = generation
      this.onRun({ engine: this.options.name, requestId, account, idempotencyKey })
    })
    return submitted
  }

  resume (name: string, after: number, sink: StreamSink): Either<Failure, void> {
    return this.model.resume(this.realIds.get(name) ?? name, after, this.rename(sink))
  }

  private rename (sink: StreamSink): StreamSink {
    return {
      started: start => sink.started({ ...start, streamId: this.nameOf(start.streamId) }),
      token: (sequence, text) => sink.token(sequence, text),
      finished: (sequence, end) => sink.finished(sequence, end),
      failed: failure => sink.failed(failure)
    }
  }

  private nameOf (streamId: string): string {
    const name = this.names.get(streamId) ?? `stream-${this.names.size}`
    this.names.set(streamId, name)
    this.realIds.set(name, streamId)
    return name
  }

  cancel (requestId: string): void {
    this.model.cancel(requestId)
  }

  load (): LoadReport {
    return this.model.load()
  }

  leave (): void {
    this.model.leave()
  }

  /** Comes back empty, as another incarnation that takes new work, perhaps with other weights. */
  crash (weightsVersion = this.weightsVersion): void {
    this.weightsVersion = weightsVersion
    const lost = this.model
    this.names.clear()
    this.realIds.clear()
    this.crashes += 1
    const name = `${this.options.name}-${this.crashes}`
    this.model = EngineModel.create({ ...this.options, name, weightsVersion }, this.clock)
    lost.crash()
  }

  setDown (isDown: boolean): void {
    this.isDown = isDown
    if (isDown) {
      this.cutAll()
    }
  }

  /** Breaks each open connection; streams go on unseen. */
  cutAll (): void {
    [...this.cutters].forEach(cut => cut())
  }
}
