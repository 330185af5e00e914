/** What a simulated caller wants, and the submission that comes of it. */
import { EnginePath, PriorityClass } from 'foxtaillever-core'
import { createTextPrompt } from 'foxtaillever-core/hashPrompt'
import type { Submission } from 'foxtaillever-router'
import type { Sending } from '../oracle/oracle.js'

export interface Wish {
  readonly entry: number
  readonly account: string
  readonly prompt: number
  readonly tokens: number
  readonly timeoutMs: number
  /** Undefined for idempotent requests. */
  readonly idempotencyKey: string | undefined
  readonly isSlowReader: boolean
}

export function createSubmission (sending: Sending, wish: Wish, now: number): Submission {
  const prompt = createTextPrompt(sending.prompt)
  return {
    prompt,
    path: EnginePath.Completions,
    body: { model: 'order-language', prompt: sending.prompt, max_tokens: sending.tokens, stream: true },
    idempotencyKey: sending.idempotencyKey,
    job: {
      id: sending.id,
      account: sending.account,
      model: 'order-language',
      priority: PriorityClass.Standard,
      idempotent: sending.idempotencyKey === '',
      arrivedAt: now,
      deadline: now + wish.timeoutMs,
      levels: prompt.levels,
      promptTokens: prompt.tokens,
      maxTokens: sending.tokens,
      fingerprint: `${sending.account} ${wish.prompt}`
    }
  }
}
