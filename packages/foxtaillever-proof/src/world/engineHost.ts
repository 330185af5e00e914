/**
 * A stand-in engine that several processes connect to. It numbers its streams
 * from zero again after each crash, as some engines do, so a stream id alone
 * doesn't identify a stream. Every run is reported to the oracle.
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

/** Faults of the connections to one engine: how many of the next events each fault will hit. */
export interface ConnectionFaults {
  lost: number
  repeated: number
  swapped: number
}

export class EngineHost {
  readonly faults: ConnectionFaults = { lost: 0, repeated: 0, swapped: 0 }
  readonly cutCallbacks = new Set<() => void>()
  private model: EngineModel
  private readonly realIds = new Map<string, string>()
  private readonly publicIds = new Map<string, string>()
  private isDown = false
  private weightsVersion: string
  /** How often the engine crashed and restarted empty. */
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
    const submitted = this.model.submit(generation, this.withPublicIds(sink))
    submitted.ifRight(streamId => {
      this.publicIdOf(streamId)
      const { requestId, account } = generation
      this.onRun({ engine: this.options.name, requestId, account, idempotencyKey })
    })
    return submitted
  }

  resume (name: string, after: number, sink: StreamSink): Either<Failure, void> {
    return this.model.resume(this.realIds.get(name) ?? name, after, this.withPublicIds(sink))
  }

  private withPublicIds (sink: StreamSink): StreamSink {
    return {
      started: start => sink.started({ ...start, streamId: this.publicIdOf(start.streamId) }),
      token: (sequence, text) => sink.token(sequence, text),
      finished: (sequence, end) => sink.finished(sequence, end),
      failed: failure => sink.failed(failure)
    }
  }

  private publicIdOf (streamId: string): string {
    const name = this.publicIds.get(streamId) ?? `stream-${this.publicIds.size}`
    this.publicIds.set(streamId, name)
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

  /** Crashes the engine and restarts it empty: a new incarnation that accepts work, perhaps with other weights. */
  crash (weightsVersion = this.weightsVersion): void {
    this.weightsVersion = weightsVersion
    const crashedModel = this.model
    this.publicIds.clear()
    this.realIds.clear()
    this.crashes += 1
    const name = `${this.options.name}-${this.crashes}`
    this.model = EngineModel.create({ ...this.options, name, weightsVersion }, this.clock)
    crashedModel.crash()
  }

  setDown (isDown: boolean): void {
    this.isDown = isDown
    if (isDown) {
      this.cutAll()
    }
  }

  /** Breaks each open connection; the streams go on at the engine. */
  cutAll (): void {
    [...this.cutCallbacks].forEach(cut => cut())
  }
}
