/** One sending of a caller over HTTP, checked token by token. */
import { createParser } from 'eventsource-parser'
import { CallerHeader, EnginePath } from 'foxtaillever-core'
import { answerKey, answerToken } from 'foxtaillever-standins'
import { request, type Dispatcher } from 'undici'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface SoakSending {
  readonly address: string
  readonly dispatcher: Dispatcher
  readonly apiKey: string
  readonly prompt: string
  readonly tokens: number
  readonly timeoutMs: number
  /** Undefined for idempotent requests. */
  readonly idempotencyKey: string | undefined
}

/** How a sending ended, as its caller sees it. */
export enum SoakEnd {
  Whole = 'whole',
  Failed = 'failed',
  /** The connection broke, or the stream ended without a last event. */
  Cut = 'cut',
  /** Nothing could be sent. */
  Unreachable = 'unreachable'
}

export interface SoakAnswer {
  readonly end: SoakEnd
  readonly code: string
  readonly verdict: string
  readonly requestId: string
}

interface ErrorBody {
  readonly error: { readonly code: string, readonly verdict: string, readonly request_id: string }
}

class Reading {
  private received = 0
  isDone = false
  error: ErrorBody['error'] | undefined

  constructor (private readonly sending: SoakSending, private readonly oracle: SoakOracle) {}

  take (event: { event?: string, id?: string, data: string }): void {
    if (event.event === 'error') {
      this.error = (JSON.parse(event.data) as ErrorBody).error
      return
    }
    if (event.data === '[DONE]') {
      this.isDone = true
      const { tokens } = this.sending
      this.oracle.expect(SoakPromise.AnswerWhole, this.received === tokens, () => `${this.received} of ${tokens}`)
      return
    }
    this.takeChunk(Number(event.id), JSON.parse(event.data) as { choices: Array<{ text: string, finish_reason: string | null }> })
  }

  private takeChunk (id: number, chunk: { choices: Array<{ text: string, finish_reason: string | null }> }): void {
    const choice = chunk.choices[0]
    if (!choice || choice.finish_reason !== null) {
      return
    }
    this.received += 1
    const wanted = answerToken(answerKey(this.sending.prompt), this.received)
    this.oracle.expect(SoakPromise.OwnTokensInOrder, id === this.received && choice.text === wanted, () => `event ${id} as number ${this.received}`)
  }
}

function headersOf (sending: SoakSending): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [CallerHeader.Authorization]: `Bearer ${sending.apiKey}`,
    [CallerHeader.Timeout]: String(sending.timeoutMs)
  }
  if (sending.idempotencyKey !== undefined) {
    headers[CallerHeader.IdempotencyKey] = sending.idempotencyKey
    headers[CallerHeader.NonIdempotent] = 'true'
  }
  return headers
}

export async function sendOnce (sending: SoakSending, oracle: SoakOracle): Promise<SoakAnswer> {
  const reading = new Reading(sending, oracle)
  let requestId = ''
  let isAnswered = false
  try {
    const { prompt, tokens, dispatcher } = sending
    const body = JSON.stringify({ model: 'order-language', prompt, max_tokens: tokens, stream: true })
    const answer = await request(`${sending.address}${EnginePath.Completions}`, { method: 'POST', dispatcher, headers: headersOf(sending), body })
    isAnswered = true
    requestId = String(answer.headers[CallerHeader.RequestId] ?? '')
    if (answer.statusCode !== 200) {
      const { error } = await answer.body.json() as ErrorBody
      return describeFailure(error, requestId)
    }
    const parser = createParser({ onEvent: event => reading.take(event) })
    const decoder = new TextDecoder()
    for await (const chunk of answer.body) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
    }
  } catch (error) {
    const isUnreachable = !isAnswered && (error as { code?: string }).code === 'ECONNREFUSED'
    return { end: isUnreachable ? SoakEnd.Unreachable : SoakEnd.Cut, code: (error as { code?: string }).code ?? 'broken', verdict: '', requestId }
  }
  if (reading.error) {
    return describeFailure(reading.error, requestId)
  }
  return { end: reading.isDone ? SoakEnd.Whole : SoakEnd.Cut, code: '', verdict: '', requestId }
}

function describeFailure (error: ErrorBody['error'], requestId: string): SoakAnswer {
  return { end: SoakEnd.Failed, code: error.code, verdict: error.verdict, requestId: error.request_id || requestId }
}
