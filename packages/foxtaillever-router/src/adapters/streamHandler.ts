/**
 * Reads the event stream of one attempt at an engine and passes its events to
 * the listener. The connection, the checks of the answer and the verdict of each
 * kind of failure come from the relay core.
 */
import {
  EngineHeader, Failure, FailureCode, StreamEvent, Verdict,
  type Clock, type GenerateListener, type GenerateStream, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { Attempt, type AnswerHead, type AttemptListener, type AttemptOptions } from 'foxtaillever-relay/attempts/attempt'
import { meaningOf, type AttemptFailure } from 'foxtaillever-relay/attempts/attemptFailure'
import { SilenceWatch } from 'foxtaillever-relay/exchange/silenceWatch'
import { readEventFields, type EventFields } from 'foxtaillever-relay/streams/eventFields'
import { EventSplitter } from 'foxtaillever-relay/streams/eventSplitter'
import { Either } from 'purify-ts'
import { engineWire } from './engineWire.js'

/** Timeout for connecting to a backend server, milliseconds. */
const CONNECT_TIMEOUT_MS = 1000

/** A stream without data for this long counts as lost, milliseconds. */
const SILENCE_TIMEOUT_MS = 30_000

/** Maximum size of an error body that is read, bytes. The rest is not awaited. */
const MAX_ERROR_BODY_BYTES = 16_384

/** Comments and unknown events between two events up to this size are read, bytes: a comment of 15 bytes a second for more than an hour. */
const MAX_IGNORED_BYTES = 64 * 1024

const STATUS_OK = 200

type EventHandler = (handler: StreamHandler, event: EventFields) => void

const handleToken: EventHandler = (handler, event) => handler.onToken(event)

const eventHandlers: Record<string, EventHandler> = {
  [StreamEvent.Started]: (handler, event) => handler.onStarted(event.data),
  [StreamEvent.Finished]: (handler, event) => handler.onFinished(event.data)
}

export interface StreamOptions extends Pick<AttemptOptions, 'connections' | 'requestId' | 'call'> {
  readonly clock: Clock
  readonly listener: GenerateListener
  /** Cancels the request at the engine. */
  readonly cancelAtEngine: () => void
}

/** Finds a header's value in alternating names and values. */
function headerOf (headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name)
  return index === -1 ? undefined : headers[index + 1]
}

export class StreamHandler implements GenerateStream, AttemptListener {
  private readonly attempt: Attempt
  private readonly silenceWatch: SilenceWatch
  private readonly splitter = EventSplitter.create()
  private isOver = false
  private isPaused = false
  private head: AnswerHead | undefined
  private readonly errorBody: Buffer[] = []
  private errorBytes = 0
  /** Bytes of comments and unknown events since the last event. */
  private ignoredBytes = 0

  private constructor (private readonly options: StreamOptions) {
    const { clock, connections, requestId, call } = options
    const until = (lastActivityAt: number): number => lastActivityAt + SILENCE_TIMEOUT_MS
    this.silenceWatch = SilenceWatch.start({ clock, firstUntil: until(clock.now()), nextUntil: until, onSilent: () => this.onSilent() })
    this.attempt = Attempt.begin({ clock, connections, requestId, call, wire: engineWire, connectTimeoutMs: CONNECT_TIMEOUT_MS, maxIdleMs: Infinity, listener: this })
  }

  static create (options: StreamOptions): StreamHandler {
    return new StreamHandler(options)
  }

  cancel (): void {
    if (!this.isOver && this.attempt.mayHaveArrived) {
      this.options.cancelAtEngine()
    }
    this.detach()
  }

  detach (): void {
    if (this.isOver) {
      return
    }
    this.isOver = true
    this.silenceWatch.stop()
    this.attempt.cancel()
  }

  pause (): void {
    this.isPaused = true
    this.attempt.pause()
  }

  resume (): void {
    this.isPaused = false
    this.silenceWatch.recordActivity()
    this.attempt.resume()
  }

  maySend (): boolean {
    return this.options.listener.sent()
  }

  onHead (head: AnswerHead): void {
    this.head = head
    this.silenceWatch.recordActivity()
  }

  onData (bytes: Buffer): void {
    this.silenceWatch.recordActivity()
    if (this.head?.status !== STATUS_OK) {
      this.keepError(bytes)
      return
    }
    for (const { bytes: event } of this.splitter.push(bytes)) {
      this.onEvent(event)
    }
    if (this.splitter.isEventTooLarge) {
      this.attempt.reject('an event without end')
    }
  }

  onEnd (): void {
    this.silenceWatch.stop()
    if (this.head?.status === STATUS_OK) {
      this.fail(Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine ended the stream without its last event.'))
    } else {
      this.fail(this.readRefusal())
    }
  }

  onFailed ({ kind, detail }: AttemptFailure): void {
    this.silenceWatch.stop()
    const { code, verdict } = meaningOf[kind]
    this.fail(Failure.create(code, verdict, `The try at the backend server failed: ${detail}`))
  }

  /** The listener decides by what was sent whether this ends the request. */
  onError (error: unknown): void {
    this.isOver = true
    this.silenceWatch.stop()
    const verdict = this.attempt.mayHaveArrived ? Verdict.MayHaveRun : Verdict.NotRun
    this.options.listener.failed(Failure.create(FailureCode.Internal, verdict, `An unexpected error ended the attempt: ${String(error)}`))
  }

  /** The stream is also silent while it is paused for a slow caller, which is no fault of the engine. */
  private onSilent (): void {
    if (!this.isPaused) {
      this.attempt.timeOut()
    }
  }

  private onEvent (bytes: Buffer): void {
    const event = readEventFields(bytes)
    if (this.isOver) {
      return
    }
    const handleEvent = event && (event.type === '' ? handleToken : eventHandlers[event.type])
    this.ignoredBytes = handleEvent ? 0 : this.ignoredBytes + bytes.length
    if (this.ignoredBytes > MAX_IGNORED_BYTES) {
      this.attempt.reject('comments or unknown events follow each other without end')
    } else if (event) {
      handleEvent?.(this, event)
    }
  }

  onToken ({ id, data }: EventFields): void {
    this.options.listener.token(Number(id), data)
  }

  onStarted (data: string): void {
    this.parseEvent<StreamStart>(data, start => this.options.listener.started(start))
  }

  onFinished (data: string): void {
    this.parseEvent<StreamEnd>(data, end => {
      this.isOver = true
      this.options.listener.finished(end)
    })
  }

  private parseEvent<Content> (data: string, handleContent: (content: Content) => void): void {
    Either.encase(() => JSON.parse(data) as Content).caseOf({
      Left: () => this.attempt.reject('an event that is no JSON'),
      Right: handleContent
    })
  }

  private keepError (bytes: Buffer): void {
    this.errorBody.push(bytes)
    this.errorBytes += bytes.length
    if (this.errorBytes > MAX_ERROR_BODY_BYTES) {
      this.silenceWatch.stop()
      this.attempt.cancel()
      this.fail(this.readRefusal())
    }
  }

  private fail (failure: Failure): void {
    if (this.isOver) {
      return
    }
    this.isOver = true
    this.options.listener.failed(failure)
  }

  /** Only the engine's own verdict proves that a refused request did not run. */
  private readRefusal (): Failure {
    const { status = 0, headers = [] } = this.head ?? {}
    const verdict = headerOf(headers, EngineHeader.Verdict) === Verdict.NotRun ? Verdict.NotRun : Verdict.MayHaveRun
    try {
      const { error } = JSON.parse(Buffer.concat(this.errorBody).toString('utf8')) as { error: { code: FailureCode, message: string } }
      return Failure.create(error.code, verdict, error.message)
    } catch {
      return Failure.create(FailureCode.BackendServerError, verdict, `The backend server answered ${status}.`)
    }
  }
}
