/** One caller: sends a request, reads its stream and checks the answer. */
import { createParser } from 'eventsource-parser'
import { EnginePath, renderMessages } from 'foxtaillever-core'
import { wholeAnswer } from 'foxtaillever-standins'
import { request, type Dispatcher } from 'undici'
import { keyOf } from '../deployment/embeddedDeployment.js'
import type { Arrival } from './createArrivals.js'

export enum AnswerState {
  Complete = 'complete',
  Refused = 'refused',
  /** The stream ended with an error event. */
  Failed = 'failed',
  /** The stream ended without a last word. */
  Cut = 'cut',
  /** The text is not the answer to this prompt. */
  Wrong = 'wrong'
}

export interface Answer {
  readonly state: AnswerState
  readonly status: number
  /** Milliseconds after the intended start; undefined when no token came. */
  readonly firstTokenMs: number | undefined
  readonly totalMs: number
  readonly promptTokens: number
  readonly cachedTokens: number
}

interface Chunk {
  readonly error?: unknown
  readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string } }>
  readonly usage?: { readonly prompt_tokens: number, readonly prompt_tokens_details: { readonly cached_tokens: number } }
}

interface Reading {
  text: string
  closed: boolean
  failed: boolean
  firstTokenAt: number | undefined
  promptTokens: number
  cachedTokens: number
}

function readChunk (reading: Reading, data: string): void {
  if (data === '[DONE]') {
    reading.closed = true
    return
  }
  const chunk = JSON.parse(data) as Chunk
  if (chunk.error !== undefined) {
    reading.failed = true
    return
  }
  const text = chunk.choices?.[0]?.delta?.content ?? ''
  if (text !== '' && reading.firstTokenAt === undefined) {
    reading.firstTokenAt = performance.now()
  }
  reading.text += text
  if (chunk.usage) {
    reading.promptTokens = chunk.usage.prompt_tokens
    reading.cachedTokens = chunk.usage.prompt_tokens_details.cached_tokens
  }
}

function judge (reading: Reading, arrival: Arrival): AnswerState {
  if (reading.failed) {
    return AnswerState.Failed
  }
  if (!reading.closed) {
    return AnswerState.Cut
  }
  return reading.text === wholeAnswer(renderMessages(arrival.messages), arrival.maxTokens) ? AnswerState.Complete : AnswerState.Wrong
}

/** @param intendedAt when the request should have left, on the monotonic clock. */
export async function sendRequest (address: string, arrival: Arrival, intendedAt: number, dispatcher: Dispatcher): Promise<Answer> {
  const reading: Reading = { text: '', closed: false, failed: false, firstTokenAt: undefined, promptTokens: 0, cachedTokens: 0 }
  let status = 0
  try {
    const answer = await request(`${address}${EnginePath.ChatCompletions}`, {
      dispatcher,
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${keyOf(arrival.account)}` },
      body: JSON.stringify({ model: arrival.model, messages: arrival.messages, max_tokens: arrival.maxTokens, stream: true, stream_options: { include_usage: true } })
    })
    status = answer.statusCode
    const parser = createParser({ onEvent: event => readChunk(reading, event.data) })
    const decoder = new TextDecoder()
    for await (const chunk of answer.body) {
      if (status === 200) {
        parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
      }
    }
  } catch {
    reading.closed = false
  }
  const state = status !== 0 && status !== 200 ? AnswerState.Refused : judge(reading, arrival)
  return {
    state,
    status,
    firstTokenMs: reading.firstTokenAt === undefined ? undefined : reading.firstTokenAt - intendedAt,
    totalMs: performance.now() - intendedAt,
    promptTokens: reading.promptTokens,
    cachedTokens: reading.cachedTokens
  }
}
