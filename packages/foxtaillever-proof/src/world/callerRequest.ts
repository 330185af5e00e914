/** A request of a simulated caller, and the submission that the router gets for it. */
import { EnginePath, PriorityClass } from 'foxtaillever-core'
import { createTextPrompt } from 'foxtaillever-core/hashPrompt'
import type { Submission } from 'foxtaillever-router'
import type { SentRequest } from '../oracle/oracle.js'

export interface CallerRequest {
  readonly entry: number
  readonly account: string
  readonly prompt: number
  readonly tokens: number
  readonly timeoutMs: number
  /** Undefined for idempotent requests. */
  readonly idempotencyKey: string | undefined
  readonly isSlowReader: boolean
}

export function createSubmission (sentRequest: SentRequest, callerRequest: CallerRequest, now: number): Submission {
  const prompt = createTextPrompt(sentRequest.prompt)
  return {
    prompt,
    path: EnginePath.Completions,
    body: { model: 'order-language', prompt: sentRequest.prompt, max_tokens: sentRequest.tokens, stream: true },
    idempotencyKey: sentRequest.idempotencyKey,
    job: {
      id: sentRequest.id,
      account: sentRequest.account,
      model: 'order-language',
      priority: PriorityClass.Standard,
      idempotent: sentRequest.idempotencyKey === '',
      arrivedAt: now,
      deadline: now + callerRequest.timeoutMs,
      levels: prompt.levels,
      promptTokens: prompt.tokens,
      maxTokens: sentRequest.tokens,
      fingerprint: `${sentRequest.account} ${callerRequest.prompt}`
    }
  }
}
