/**
 * Reads one streamed answer as a caller does and checks that it is complete, in
 * order, closed by [DONE], and the answer to the caller's own prompt.
 */
import type { EventSourceMessage } from 'eventsource-parser'
import { renderMessages } from 'foxtaillever-core'
import { wholeAnswer } from 'foxtaillever-standins'
import type { Arrival } from './arrival.js'
import { AnswerState } from './answer.js'

interface Chunk {
  readonly error?: { readonly code: string, readonly verdict: string }
  readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string } }>
  readonly usage?: { readonly prompt_tokens: number, readonly prompt_tokens_details: { readonly cached_tokens: number } }
}

export class StreamReading {
  private readonly texts: string[] = []
  private closed = false
  private inOrder = true
  error: { readonly code: string, readonly verdict: string } | undefined
  firstTokenAt: number | undefined
  lastTokenAt: number | undefined
  promptTokens = 0
  cachedTokens = 0

  private constructor () {}

  static create (): StreamReading {
    return new StreamReading()
  }

  handleEvent (event: EventSourceMessage): void {
    if (event.data === '[DONE]') {
      this.closed = true
      return
    }
    const chunk = JSON.parse(event.data) as Chunk
    if (chunk.error) {
      this.error = chunk.error
      return
    }
    const text = chunk.choices?.[0]?.delta?.content ?? ''
    if (text !== '') {
      this.handleToken(text, event.id)
    }
    if (chunk.usage) {
      this.promptTokens = chunk.usage.prompt_tokens
      this.cachedTokens = chunk.usage.prompt_tokens_details.cached_tokens
    }
  }

  private handleToken (text: string, id: string | undefined): void {
    this.firstTokenAt ??= performance.now()
    this.lastTokenAt = performance.now()
    this.texts.push(text)
    this.inOrder &&= id === undefined || Number(id) === this.texts.length
  }

  tokenCount (): number {
    return this.texts.length
  }

  checkAnswer (arrival: Arrival): AnswerState {
    if (this.error) {
      return AnswerState.Failed
    }
    if (!this.closed) {
      return AnswerState.Cut
    }
    const isOwn = this.texts.join('') === wholeAnswer(renderMessages(arrival.messages), arrival.maxTokens)
    return isOwn && this.inOrder ? AnswerState.Complete : AnswerState.Wrong
  }
}
