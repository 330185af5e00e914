/** Summarizes answers in the figures that users measure. */
import { build, type Histogram } from 'hdr-histogram-js'
import { AnswerState, type Answer } from '../workload/answer.js'
import { ArrivalKind } from '../workload/arrival.js'

export interface Summary {
  readonly requests: number
  readonly complete: number
  readonly refused: number
  /** Failed, cut or wrong. */
  readonly broken: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP95Ms: number
  readonly firstTokenP99Ms: number
  readonly betweenTokensP95Ms: number
  readonly plainP99Ms: number
  /** Cached prompt tokens over prompt tokens, 0 to 1. */
  readonly prefixHitRate: number
  readonly recomputedTokens: number
  /** Prompt tokens computed although an earlier request of the run had the same prefix, over prompt tokens. */
  readonly wastedShare: number
  /** Delay between the intended and the actual sending time of requests; measures the load tool itself. */
  readonly lateP99Ms: number
}

/** Tokens in one block of an engine's cache; a prefix is cached in whole blocks. */
const BLOCK_TOKENS = 16

/** Microseconds per millisecond; histograms store microseconds with three significant digits. */
const MICROSECONDS = 1000

/** Creates a histogram of values given in milliseconds. */
export function createHistogram (values: ReadonlyArray<number | undefined>): Histogram {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const value of values) {
    if (value !== undefined) {
      histogram.recordValue(Math.max(0, Math.round(value * MICROSECONDS)))
    }
  }
  return histogram
}

export function percentileMs (histogram: Histogram, percentile: number): number {
  return Math.round(histogram.getValueAtPercentile(percentile) / MICROSECONDS * 10) / 10
}

function count (answers: readonly Answer[], state: AnswerState): number {
  return answers.filter(answer => answer.state === state).length
}

function sum (answers: readonly Answer[], valueOf: (answer: Answer) => number): number {
  return answers.reduce((total, answer) => total + valueOf(answer), 0)
}

function wastedTokens (answer: Answer): number {
  return Math.max(0, answer.arrival.sharedTokens - answer.cachedTokens - BLOCK_TOKENS)
}

export function summarize (answers: readonly Answer[]): Summary {
  const language = answers.filter(answer => answer.arrival.kind === ArrivalKind.Language)
  const plain = answers.filter(answer => answer.arrival.kind !== ArrivalKind.Language)
  const answered = language.filter(answer => answer.promptTokens > 0)
  const firstToken = createHistogram(language.map(answer => answer.firstTokenMs))
  const promptTokens = sum(answered, answer => answer.promptTokens)
  const cachedTokens = sum(answered, answer => answer.cachedTokens)
  const complete = count(answers, AnswerState.Complete)
  const refused = count(answers, AnswerState.Refused)
  return {
    requests: answers.length,
    complete,
    refused,
    broken: answers.length - complete - refused,
    firstTokenP50Ms: percentileMs(firstToken, 50),
    firstTokenP95Ms: percentileMs(firstToken, 95),
    firstTokenP99Ms: percentileMs(firstToken, 99),
    betweenTokensP95Ms: percentileMs(createHistogram(language.map(answer => answer.betweenTokensMs)), 95),
    plainP99Ms: percentileMs(createHistogram(plain.map(answer => answer.totalMs)), 99),
    prefixHitRate: promptTokens === 0 ? 0 : cachedTokens / promptTokens,
    recomputedTokens: promptTokens - cachedTokens,
    wastedShare: promptTokens === 0 ? 0 : sum(answered, wastedTokens) / promptTokens,
    lateP99Ms: percentileMs(createHistogram(answers.map(answer => answer.lateMs)), 99)
  }
}
