/** What became of one arrival, as its caller saw it. */
import type { Arrival } from './arrival.js'

export enum AnswerState {
  Complete = 'complete',
  Refused = 'refused',
  /** The stream ended with an error event. */
  Failed = 'failed',
  /** The stream ended without a last word. */
  Cut = 'cut',
  /** The text is not the answer to this prompt, or an event came twice, late or never. */
  Wrong = 'wrong'
}

export interface Answer {
  readonly arrival: Arrival
  readonly state: AnswerState
  readonly status: number
  /** Of a failure; empty otherwise. */
  readonly code: string
  readonly verdict: string
  /** Milliseconds after the intended start; undefined when no token came. */
  readonly firstTokenMs: number | undefined
  readonly totalMs: number
  /** Mean time between tokens; undefined below two tokens. */
  readonly betweenTokensMs: number | undefined
  /** How late the request left against its intended start; a measure of this tool, not of the system. */
  readonly lateMs: number
  readonly promptTokens: number
  readonly cachedTokens: number
}
