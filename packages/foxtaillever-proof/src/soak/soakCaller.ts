/** One attempt of a caller over HTTP, checked token by token. */
import { createParser } from 'eventsource-parser'
import { CallerHeader, EnginePath } from 'foxtaillever-core'
import { answerKey, answerToken } from 'foxtaillever-standins'
import { request, type Dispatcher } from 'undici'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface SoakAttempt {
  readonly address: string
  readonly dispatcher: Dispatcher
  readonly apiKey: string
  readonly prompt: string
  readonly tokens: number
  readonly timeoutMs: number
  /** Undefined for idempotent requests. */
  readonly idempotencyKey: string | undefined
}

/** How an attempt ended for its caller. */
export enum SoakOutcome {
  Whole = 'whole',
  Failed = 'failed',
  /** The connection broke, or the stream ended without a last event. */
  Cut = 'cut',
  /** The connection was refused, so nothing was sent. */
  Unreachable = 'unreachable'
}

export interface SoakResult {
  readonly outcome: SoakOutcome
  readonly code: string
  readonly verdict: string
  readonly requestId: string
}

interface ErrorBody {
  readonly error: { readonly code: string, readonly verdict: string, readonly request_id: string }
}

class StreamReader {
  private receivedTokens = 0
  isDone = false
  error: ErrorBody['error'] | undefined

  constructor (private readonly attempt: SoakAttempt, private readonly oracle: SoakOracle) {}

  handleEvent (event: { event?: string, id?: string, data: string }): void {
    if (event.event === 'error') {
      this.error = (JSON.parse(event.data) as ErrorBody).error
      return
    }
    if (event.data === '[DONE]') {
      this.isDone = true
      const { tokens } = this.attempt
      this.oracle.expect(SoakPromise.AnswerWhole, this.receivedTokens === tokens, () => `${this.receivedTokens} of ${tokens}`)
      return
    }
    this.handleChunk(Number(event.id), JSON.parse(event.data) as { choices: Array<{ text: string, finish_reason: string | null }> })
  }

  private handleChunk (id: number, chunk: { choices: Array<{ text: string, finish_reason: string | null }> }): void {
    const choice = chunk.choices[0]
    if (!choice || choice.finish_reason !== null) {
      return
    }
    this.receivedTokens += 1
    const expectedText = answerToken(answerKey(this.attempt.prompt), this.receivedTokens)
    this.oracle.expect(SoakPromise.OwnTokensInOrder, id === this.receivedTokens && choice.text === expectedText, () => `event ${id} as number ${this.receivedTokens}`)
  }
}

function createHeaders (attempt: SoakAttempt): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [CallerHeader.Authorization]: `Bearer ${attempt.apiKey}`,
    [CallerHeader.Timeout]: String(attempt.timeoutMs)
  }
  if (attempt.idempotencyKey !== undefined) {
    headers[CallerHeader.IdempotencyKey] = attempt.idempotencyKey
    headers[CallerHeader.NonIdempotent] = 'true'
  }
  return headers
}

export async function sendAttempt (attempt: SoakAttempt, oracle: SoakOracle): Promise<SoakResult> {
  const reader = new StreamReader(attempt, oracle)
  let requestId = ''
  let isAnswered = false
  try {
    const { prompt, tokens, dispatcher } = attempt
    const body = JSON.stringify({ model: 'order-language', prompt, max_tokens: tokens, stream: true })
    const answer = await request(`${attempt.address}${EnginePath.Completions}`, { method: 'POST', dispatcher, headers: createHeaders(attempt), body })
    isAnswered = true
    requestId = String(answer.headers[CallerHeader.RequestId] ?? '')
    if (answer.statusCode !== 200) {
      const { error } = await answer.body.json() as ErrorBody
      return describeFailure(error, requestId)
    }
    const parser = createParser({ onEvent: event => reader.handleEvent(event) })
    const decoder = new TextDecoder()
    for await (const chunk of answer.body) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
    }
  } catch (error) {
    const isUnreachable = !isAnswered && (error as { code?: string }).code === 'ECONNREFUSED'
    return { outcome: isUnreachable ? SoakOutcome.Unreachable : SoakOutcome.Cut, code: (error as { code?: string }).code ?? 'broken', verdict: '', requestId }
  }
  if (reader.error) {
    return describeFailure(reader.error, requestId)
  }
  return { outcome: reader.isDone ? SoakOutcome.Whole : SoakOutcome.Cut, code: '', verdict: '', requestId }
}

function describeFailure (error: ErrorBody['error'], requestId: string): SoakResult {
  return { outcome: SoakOutcome.Failed, code: error.code, verdict: error.verdict, requestId: error.request_id || requestId }
}
