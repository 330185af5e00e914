/** Sums answers up into what the users measure. */
import { build } from 'hdr-histogram-js'
import { AnswerState, type Answer } from './sendRequest.js'

export interface Summary {
  readonly requests: number
  readonly complete: number
  readonly refused: number
  /** Failed, cut or wrong. */
  readonly broken: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP95Ms: number
  readonly firstTokenP99Ms: number
  /** Cached prompt tokens over prompt tokens, 0 to 1. */
  readonly prefixHitRate: number
  readonly recomputedTokens: number
}

function count (answers: readonly Answer[], state: AnswerState): number {
  return answers.filter(answer => answer.state === state).length
}

export function summarize (answers: readonly Answer[]): Summary {
  const histogram = build()
  answers.forEach(answer => answer.firstTokenMs !== undefined && histogram.recordValue(Math.max(0, Math.round(answer.firstTokenMs))))
  const promptTokens = answers.reduce((sum, answer) => sum + answer.promptTokens, 0)
  const cachedTokens = answers.reduce((sum, answer) => sum + answer.cachedTokens, 0)
  const complete = count(answers, AnswerState.Complete)
  const refused = count(answers, AnswerState.Refused)
  return {
    requests: answers.length,
    complete,
    refused,
    broken: answers.length - complete - refused,
    firstTokenP50Ms: histogram.getValueAtPercentile(50),
    firstTokenP95Ms: histogram.getValueAtPercentile(95),
    firstTokenP99Ms: histogram.getValueAtPercentile(99),
    prefixHitRate: promptTokens === 0 ? 0 : cachedTokens / promptTokens,
    recomputedTokens: promptTokens - cachedTokens
  }
}
