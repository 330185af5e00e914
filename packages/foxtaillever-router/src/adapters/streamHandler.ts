/**
 * Turns one try at an engine into words for the listener. Its connection, the
 * checks of its answer and what each way to fail proves are those of the relay
 * core; here its events are read.
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

/** A backend server that takes longer to accept a connection is passed over, milliseconds. */
const CONNECT_TIMEOUT_MS = 1000

/** Silence on a stream after which it counts as lost, milliseconds. */
const SILENCE_MS = 30_000

/** More of an error body than this is not read, bytes. */
const ERROR_BODY_BYTES = 16_384

const STATUS_OK = 200

type EventHandler = (handler: StreamHandler, event: EventFields) => void

const eventHandlers: Record<string, EventHandler> = {
  [StreamEvent.Started]: (handler, event) => handler.onStarted(event.data),
  [StreamEvent.Finished]: (handler, event) => handler.onFinished(event.data)
}

export interface StreamOptions extends Pick<AttemptOptions, 'connections' | 'requestId' | 'call'> {
  readonly clock: Clock
  readonly listener: GenerateListener
  /** Tells the engine to stop. */
  readonly tellEngine: () => void
}

/** A header's value out of names and values in turn. */
function headerOf (headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex((text, place) => place % 2 === 0 && text.toLowerCase() === name)
  return index === -1 ? undefined : headers[index + 1]
}

export class StreamHandler implements GenerateStream, AttemptListener {
  private readonly attempt: Attempt
  private readonly watch: SilenceWatch
  private readonly splitter = EventSplitter.create()
  private over = false
  private isPaused = false
  private head: AnswerHead | undefined
  private readonly errorBody: Buffer[] = []
  private errorBytes = 0

  private constructor (private readonly options: StreamOptions) {
    const { clock, connections, requestId, call } = options
    const until = (heardAt: number): number => heardAt + SILENCE_MS
    this.watch = SilenceWatch.start({ clock, firstUntil: until(clock.now()), nextUntil: until, onSilent: () => this.onSilent() })
    this.attempt = Attempt.begin({ clock, connections, requestId, call, wire: engineWire, connectTimeoutMs: CONNECT_TIMEOUT_MS, maxIdleMs: Infinity, listener: this })
  }

  static create (options: StreamOptions): StreamHandler {
    return new StreamHandler(options)
  }

  cancel (): void {
    if (!this.over && this.attempt.mayHaveArrived) {
      this.options.tellEngine()
    }
    this.detach()
  }

  detach (): void {
    if (this.over) {
      return
    }
    this.over = true
    this.watch.stop()
    this.attempt.cancel()
  }

  pause (): void {
    this.isPaused = true
    this.attempt.pause()
  }

  resume (): void {
    this.isPaused = false
    this.watch.recordActivity()
    this.attempt.resume()
  }

  maySend (): boolean {
    return this.options.listener.sent()
  }

  onHead (head: AnswerHead): void {
    this.head = head
    this.watch.recordActivity()
  }

  onData (bytes: Buffer): void {
    this.watch.recordActivity()
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
    this.watch.stop()
    if (this.head?.status === STATUS_OK) {
      this.fail(Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine ended the stream without its last event.'))
    } else {
      this.fail(this.readRefusal())
    }
  }

  onFailed ({ kind, detail }: AttemptFailure): void {
    this.watch.stop()
    const { code, verdict } = meaningOf[kind]
    this.fail(Failure.create(code, verdict, `The try at the backend server failed: ${detail}`))
  }

  /** A caller that reads slowly holds the engine up; that is no silence of the engine. */
  private onSilent (): void {
    if (!this.isPaused) {
      this.attempt.timeOut()
    }
  }

  private onEvent (bytes: Buffer): void {
    const event = readEventFields(bytes)
    if (this.over || !event) {
      return
    }
    if (event.type === '') {
      this.options.listener.token(Number(event.id), event.data)
      return
    }
    eventHandlers[event.type]?.(this, event)
  }

  onStarted (data: string): void {
    this.read<StreamStart>(data, start => this.options.listener.started(start))
  }

  onFinished (data: string): void {
    this.read<StreamEnd>(data, end => {
      this.over = true
      this.options.listener.finished(end)
    })
  }

  private read<Content> (data: string, take: (content: Content) => void): void {
    Either.encase(() => JSON.parse(data) as Content).caseOf({
      Left: () => this.attempt.reject('an event that is no JSON'),
      Right: take
    })
  }

  private keepError (bytes: Buffer): void {
    if (this.errorBytes < ERROR_BODY_BYTES) {
      this.errorBody.push(bytes)
      this.errorBytes += bytes.length
    }
  }

  private fail (failure: Failure): void {
    if (this.over) {
      return
    }
    this.over = true
    this.options.listener.failed(failure)
  }

  /** Only the engine's own word proves that a refused request did not run. */
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
