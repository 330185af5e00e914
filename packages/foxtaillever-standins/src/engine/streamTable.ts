/** Streams of a stand-in engine by id: attached, detached, resumed, kept a while after their end. */
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { answerToken } from '../answer.js'
import { endOf, silentSink, type Stream, type StreamSink } from './generation.js'

/** Finished streams are kept this long for a resume, milliseconds. */
const FINISHED_KEPT_MS = 10_000

export class StreamTable {
  private readonly streams = new Map<string, Stream>()
  /** Finished streams, the oldest first, and the instants until which they are kept. */
  private finished: Array<{ readonly id: string, readonly keptUntil: number }> = []

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): StreamTable {
    return new StreamTable(clock)
  }

  add (stream: Stream): void {
    this.sweep()
    this.streams.set(stream.id, stream)
  }

  /** Takes out a stream, named by its id or by the request's; undefined when it is not known. */
  take (id: string): Stream | undefined {
    const stream = this.streams.get(id) ?? [...this.streams.values()].find(other => other.generation.requestId === id)
    this.streams.delete(stream?.id ?? '')
    return stream
  }

  /** Attaches a new sink and repeats what came after the given event. */
  resume (id: string, after: number, sink: StreamSink): Either<Failure, void> {
    this.sweep()
    const stream = this.streams.get(id)
    if (!stream) {
      return Left(Failure.create(FailureCode.StreamBroken, Verdict.MayHaveRun, 'This engine does not know the stream.'))
    }
    stream.sink = sink
    if (stream.start) {
      sink.started(stream.start)
    }
    for (let sequence = after + 1; sequence <= stream.produced; sequence++) {
      sink.token(sequence, answerToken(stream.answerKey, sequence))
    }
    if (stream.done) {
      sink.finished(stream.produced + 1, endOf(stream))
    }
    return Right(undefined)
  }

  /** The socket is gone: the stream runs on, unseen. */
  detach (id: string, sink: StreamSink): void {
    const stream = this.streams.get(id)
    if (stream?.sink === sink) {
      stream.sink = silentSink
    }
  }

  finish (stream: Stream): void {
    stream.done = true
    this.finished.push({ id: stream.id, keptUntil: this.clock.now() + FINISHED_KEPT_MS })
    stream.sink.finished(stream.produced + 1, endOf(stream))
  }

  /** Forgets what finished long ago; no timer, so that nothing holds a process that is done. */
  private sweep (): void {
    const now = this.clock.now()
    while (this.finished[0] && this.finished[0].keptUntil <= now) {
      this.streams.delete(this.finished.shift()?.id ?? '')
    }
  }

  clear (): void {
    this.finished = []
    this.streams.clear()
  }
}
