/**
 * One request of a caller as the core handles it. Method, path, headers and
 * body are opaque: they are forwarded and never interpreted here.
 */
import { Repeatability, type RelayAccount, type Route } from './routing.js'

/** One level (prefix segment) of a prompt; levels that requests share come first. */
export interface PromptLevel {
  readonly id: string
  readonly tokens: number
}

export interface Prompt {
  readonly model: string
  readonly levels: readonly PromptLevel[]
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Fields that the adapter reads from the head of a caller's request. */
export interface ExchangeHead {
  /** Unique for each attempt of the caller. */
  readonly id: string
  readonly method: string
  /** Path with query, as sent. */
  readonly path: string
  readonly host: string
  /** Names and values alternating, without the headers that the relay sets or consumes. */
  readonly headers: readonly string[]
  readonly apiKey: string | undefined
  /** How long the caller waits for the answer, milliseconds; undefined if it does not say. */
  readonly patienceMs: number | undefined
  readonly prompt: Prompt | undefined
  /** Id of the last event that the caller has received; empty for none. */
  readonly resumeAfter: string
  /** Id of the caller's attempt that brought the first event of the stream; empty where the caller does not name it. */
  readonly resumedId: string
}

export interface Exchange extends ExchangeHead {
  readonly route: Route
  readonly service: string
  readonly account: RelayAccount | undefined
  readonly body: Buffer
  /** When the head was read, milliseconds of Unix time. */
  readonly arrivedAt: number
  /** When the caller stops waiting, milliseconds of Unix time. */
  readonly callerDeadline: number
  /** The earlier of the caller's and the route's deadline, milliseconds of Unix time. */
  readonly deadline: number
}

/** Upper bound of the tokens that the request occupies in a server's memory until it ends. */
export function heldTokensOf ({ prompt }: Exchange): number {
  return prompt ? prompt.promptTokens + prompt.outputTokens : 0
}

/** The levels of a prompt that other requests may share: all but the last. */
export function sharedLevelsOf ({ prompt }: Pick<Exchange, 'prompt'>): readonly PromptLevel[] {
  return prompt?.levels.slice(0, -1) ?? []
}

/** Whether the request may run more than once. */
export function isRepeatable ({ route }: Exchange): boolean {
  return route.repeatability === Repeatability.Idempotent || (route.isStream && route.isResumable)
}
