/** Sends one request to a language model, reads its stream and checks the answer. */
import { createParser } from 'eventsource-parser'
import { CallerHeader, EnginePath } from 'foxtaillever-core'
import { request } from 'undici'
import { AnswerState, type Answer } from './answer.js'
import type { Arrival } from './arrival.js'
import type { Sending } from './sending.js'
import { StreamReading } from './streamReading.js'

const STATUS_OK = 200

interface Refusal {
  readonly code: string
  readonly verdict: string
}

function bodyOf (arrival: Arrival): string {
  return JSON.stringify({
    model: arrival.model,
    messages: arrival.messages,
    max_tokens: arrival.maxTokens,
    stream: true,
    stream_options: { include_usage: true }
  })
}

function readRefusal (text: string): Refusal {
  try {
    return (JSON.parse(text) as { error: Refusal }).error
  } catch {
    return { code: 'unreadable', verdict: '' }
  }
}

export async function sendRequest (sending: Sending, arrival: Arrival, intendedAt: number): Promise<Answer> {
  const reading = StreamReading.create()
  const sentAt = performance.now()
  let status = 0
  let refusal: Refusal = { code: '', verdict: '' }
  try {
    const answer = await request(`${sending.address}${EnginePath.ChatCompletions}`, {
      dispatcher: sending.dispatcher,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        [CallerHeader.Authorization]: `Bearer ${sending.key}`,
        [CallerHeader.RequestId]: arrival.id
      },
      body: bodyOf(arrival)
    })
    status = answer.statusCode
    if (status === STATUS_OK) {
      const parser = createParser({ onEvent: event => reading.handleEvent(event) })
      const decoder = new TextDecoder()
      for await (const chunk of answer.body) {
        parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
      }
    } else {
      refusal = readRefusal(await answer.body.text())
    }
  } catch {
    // After a broken connection the stream has no [DONE], so the answer counts as cut.
  }
  return describe(arrival, intendedAt, sentAt, status, reading, reading.error ?? refusal)
}

function describe (arrival: Arrival, intendedAt: number, sentAt: number, status: number, reading: StreamReading, refusal: Refusal): Answer {
  const isRefused = status !== 0 && status !== STATUS_OK
  const { firstTokenAt, lastTokenAt } = reading
  const gaps = reading.tokenCount() - 1
  return {
    arrival,
    state: isRefused ? AnswerState.Refused : reading.checkAnswer(arrival),
    status,
    code: refusal.code,
    verdict: refusal.verdict,
    // The network delay of the caller counts twice: for the request and for the answer.
    firstTokenMs: firstTokenAt === undefined ? undefined : firstTokenAt - intendedAt + arrival.clientDelayMs,
    totalMs: performance.now() - intendedAt + arrival.clientDelayMs,
    betweenTokensMs: firstTokenAt === undefined || lastTokenAt === undefined || gaps < 1 ? undefined : (lastTokenAt - firstTokenAt) / gaps,
    lateMs: sentAt - intendedAt - arrival.clientDelayMs,
    promptTokens: reading.promptTokens,
    cachedTokens: reading.cachedTokens
  }
}
