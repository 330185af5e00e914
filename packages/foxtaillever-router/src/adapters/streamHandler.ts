/**
 * Turns one HTTP exchange with an engine into words for the listener. A loss
 * before the request began to be written is proven NotRun; after that only the
 * engine's own word proves it.
 */
import { StringDecoder } from 'node:string_decoder'
import { createParser, type EventSourceMessage, type EventSourceParser } from 'eventsource-parser'
import {
  EngineHeader, Failure, FailureCode, StreamEvent, Verdict,
  type GenerateListener, type GenerateStream, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import type { Dispatcher } from 'undici'

/** More of an error body than this is not read, characters. */
const ERROR_BODY_CHARACTERS = 16_384

type EventHandler = (handler: StreamHandler, event: EventSourceMessage) => void

const eventHandlers: Record<string, EventHandler> = {
  [StreamEvent.Started]: (handler, event) => handler.onStarted(JSON.parse(event.data) as StreamStart),
  [StreamEvent.Finished]: (handler, event) => handler.onFinished(JSON.parse(event.data) as StreamEnd)
}

export class StreamHandler implements Dispatcher.DispatchHandler, GenerateStream {
  private controller: Dispatcher.DispatchController | undefined
  private readonly parser: EventSourceParser
  private readonly decoder = new StringDecoder('utf8')
  private sent = false
  private over = false
  private status = 0
  private verdict: string | undefined
  private errorBody = ''

  private constructor (private readonly listener: GenerateListener, private readonly tellEngine: () => void) {
    this.parser = createParser({ onEvent: event => this.onEvent(event) })
  }

  static create (listener: GenerateListener, tellEngine: () => void): StreamHandler {
    return new StreamHandler(listener, tellEngine)
  }

  cancel (): void {
    if (!this.over && this.sent) {
      this.tellEngine()
    }
    this.detach()
  }

  detach (): void {
    if (this.over) {
      return
    }
    this.over = true
    this.controller?.abort(new Error('cancelled'))
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.over) {
      controller.abort(new Error('cancelled'))
      return
    }
    if (!this.listener.sent()) {
      controller.abort(new Error('held back'))
      this.fail(Failure.notRun(FailureCode.DeadlinePassed, 'The request was held back before its first byte.'))
      return
    }
    this.sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    this.status = status
    const verdict = headers[EngineHeader.Verdict]
    this.verdict = typeof verdict === 'string' ? verdict : undefined
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.over) {
      return
    }
    const text = this.decoder.write(chunk)
    if (this.status === 200) {
      this.parser.feed(text)
    } else if (this.errorBody.length < ERROR_BODY_CHARACTERS) {
      this.errorBody += text
    }
  }

  onResponseEnd (): void {
    if (this.status === 200) {
      this.fail(Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine ended the stream without its last event.'))
    } else {
      this.fail(this.readRefusal())
    }
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    const verdict = this.sent ? Verdict.MayHaveRun : Verdict.NotRun
    const code = this.sent ? FailureCode.ConnectionLost : FailureCode.ConnectionRefused
    this.fail(Failure.create(code, verdict, `The connection to the backend server failed: ${error.message}`))
  }

  private onEvent (event: EventSourceMessage): void {
    if (this.over) {
      return
    }
    if (event.event === undefined) {
      this.listener.token(Number(event.id), event.data)
      return
    }
    eventHandlers[event.event]?.(this, event)
  }

  onStarted (start: StreamStart): void {
    this.listener.started(start)
  }

  onFinished (end: StreamEnd): void {
    this.over = true
    this.listener.finished(end)
  }

  private fail (failure: Failure): void {
    if (this.over) {
      return
    }
    this.over = true
    this.listener.failed(failure)
  }

  /** Only the engine's own word proves that a refused request did not run. */
  private readRefusal (): Failure {
    const verdict = this.verdict === Verdict.NotRun ? Verdict.NotRun : Verdict.MayHaveRun
    try {
      const { error } = JSON.parse(this.errorBody) as { error: { code: FailureCode, message: string } }
      return Failure.create(error.code, verdict, error.message)
    } catch {
      return Failure.create(FailureCode.BackendServerError, verdict, `The backend server answered ${this.status}.`)
    }
  }
}
