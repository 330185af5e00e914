/** The two answer formats of the completions protocol. */
import { EnginePath, type StreamEnd } from 'foxtaillever-core'
import type { CompletionPath } from './readSubmission.js'

interface TextChunk { readonly choices: ReadonlyArray<{ readonly text: string }> }
interface ChatChunk { readonly choices: ReadonlyArray<{ readonly delta: { readonly content?: string } }> }

export interface ChunkForm {
  /** Text of one chunk as the engine sent it. */
  readonly textOf: (data: string) => string
  /** The last chunk of a stream. */
  readonly lastChunk: (id: string, model: string, end: StreamEnd) => unknown
  /** A complete answer that is not streamed. */
  readonly whole: (id: string, model: string, text: string, end: StreamEnd) => unknown
}

export function usageOf (end: StreamEnd): unknown {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens }
  }
}

function created (): number {
  return Math.floor(Date.now() / 1000)
}

export const chunkForms: Record<CompletionPath, ChunkForm> = {
  [EnginePath.Completions]: {
    textOf: data => (JSON.parse(data) as TextChunk).choices[0]?.text ?? '',
    lastChunk: (id, model, end) => ({ id, object: 'text_completion', created: created(), model, choices: [{ index: 0, text: '', logprobs: null, finish_reason: end.finishReason }] }),
    whole: (id, model, text, end) => ({ id, object: 'text_completion', created: created(), model, choices: [{ index: 0, text, logprobs: null, finish_reason: end.finishReason }], usage: usageOf(end) })
  },
  [EnginePath.ChatCompletions]: {
    textOf: data => (JSON.parse(data) as ChatChunk).choices[0]?.delta.content ?? '',
    lastChunk: (id, model, end) => ({ id, object: 'chat.completion.chunk', created: created(), model, choices: [{ index: 0, delta: {}, finish_reason: end.finishReason }] }),
    whole: (id, model, text, end) => ({ id, object: 'chat.completion', created: created(), model, choices: [{ index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: end.finishReason }], usage: usageOf(end) })
  }
}
