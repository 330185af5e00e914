/** Outcome of one arrival as its caller saw it. */
import type { Arrival } from './arrival.js'

export enum AnswerState {
  Complete = 'complete',
  Refused = 'refused',
  /** The stream ended with an error event. */
  Failed = 'failed',
  /** The stream ended without [DONE], or no answer arrived. */
  Cut = 'cut',
  /** The text is not the answer to this prompt, or an event was repeated, out of order or missing. */
  Wrong = 'wrong'
}

export interface Answer {
  readonly arrival: Arrival
  readonly state: AnswerState
  readonly status: number
  /** Error code of a failure; empty otherwise. */
  readonly code: string
  readonly verdict: string
  /** Milliseconds after the intended start; undefined when no token came. */
  readonly firstTokenMs: number | undefined
  readonly totalMs: number
  /** Mean time between tokens; undefined below two tokens. */
  readonly betweenTokensMs: number | undefined
  /** Delay between the intended and the actual sending time; measures this tool, not the system. */
  readonly lateMs: number
  readonly promptTokens: number
  readonly cachedTokens: number
}
