/** Table of the streams of a stand-in engine by id: attaches, detaches and resumes them, and keeps them for a while after their end. */
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { answerToken } from '../answer.js'
import { createStreamEnd, silentSink, type Stream, type StreamSink } from './generation.js'

/** Finished streams are kept this long for a resume, milliseconds. */
const FINISHED_KEPT_MS = 10_000

export class StreamTable {
  private readonly streams = new Map<string, Stream>()
  /** Finished streams, the oldest first, with their expiry times. */
  private finished: Array<{ readonly id: string, readonly keptUntil: number }> = []

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): StreamTable {
    return new StreamTable(clock)
  }

  add (stream: Stream): void {
    this.removeExpired()
    this.streams.set(stream.id, stream)
  }

  /** Removes a stream, given its stream id or request id; undefined if it is unknown. */
  remove (id: string): Stream | undefined {
    const stream = this.streams.get(id) ?? [...this.streams.values()].find(other => other.generation.requestId === id)
    this.streams.delete(stream?.id ?? '')
    return stream
  }

  /** Attaches a new sink and repeats the events after the given one. */
  resume (id: string, after: number, sink: StreamSink): Either<Failure, void> {
    this.removeExpired()
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
      sink.finished(stream.produced + 1, createStreamEnd(stream))
    }
    return Right(undefined)
  }

  /** Detaches a closed socket; the stream keeps running. */
  detach (id: string, sink: StreamSink): void {
    const stream = this.streams.get(id)
    if (stream?.sink === sink) {
      stream.sink = silentSink
    }
  }

  finish (stream: Stream): void {
    stream.done = true
    this.finished.push({ id: stream.id, keptUntil: this.clock.now() + FINISHED_KEPT_MS })
    stream.sink.finished(stream.produced + 1, createStreamEnd(stream))
  }

  /** Removes expired streams. It is called on access: a timer would keep a finished process alive. */
  private removeExpired (): void {
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
