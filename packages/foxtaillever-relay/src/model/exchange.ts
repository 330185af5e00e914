/**
 * One request of a caller as the core handles it. Method, path, headers and
 * body are opaque: they are passed on and never read here.
 */
import { Repeatability, type RelayAccount, type Route } from './routing.js'

/** One level of a prompt; levels shared between requests come first. */
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

/** What the adapter reads from the head of a caller's request. */
export interface ExchangeHead {
  /** Each try of a caller has its own. */
  readonly id: string
  readonly method: string
  /** Path with query, as sent. */
  readonly path: string
  readonly host: string
  /** Names and values in turn, without those that the system sets or consumes. */
  readonly headers: readonly string[]
  readonly apiKey: string | undefined
  /** How long the caller will wait from its request on, milliseconds; undefined when not said. */
  readonly patienceMs: number | undefined
  readonly prompt: Prompt | undefined
  /** Last event that the caller already has; empty for none. */
  readonly resumeAfter: string
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

/** Tokens of a server's memory that it takes until its end, at most. */
export function heldTokensOf ({ prompt }: Exchange): number {
  return prompt ? prompt.promptTokens + prompt.outputTokens : 0
}

/** Whether running it twice does no harm. */
export function isRepeatable ({ route }: Exchange): boolean {
  return route.repeatability === Repeatability.Idempotent || (route.isStream && route.isResumable)
}
