/**
 * Estimates a reading speed from the first events of answers.
 *
 * Each first event is a sample: the tokens to be read before it, those of waiting
 * prompts included, and the time it took. Load from other instances is known some
 * hundred milliseconds late, a cached level may be missing, and an engine may be
 * paused, so a single sample may be several times too high or too low. The estimate
 * tracks the median of the samples by steps of its logarithm, so that an outlier
 * counts no more than any other sample on its side.
 */

/** Time that an engine needs before it reads and to generate the first token, milliseconds; small beside a long prompt. */
const SET_UP_MS = 20

/** Minimum tokens of a sample: the time of a shorter prompt depends more on the steps of other requests than on reading. */
const MIN_SAMPLE_TOKENS = 2000

/** Bounds of an estimate, tokens a millisecond: no engine is slower or faster. */
export const MIN_TOKENS_PER_MS = 2
export const MAX_TOKENS_PER_MS = 2000

/** Steps of an estimate's logarithm. */
export interface StepSizes {
  readonly first: number
  readonly last: number
  /** Samples after which a step is half as large as the first. */
  readonly halvingSamples: number
}

/** Whether a first event is a sample of the reading speed. */
export function isSpeedSample (tokens: number, ms: number): boolean {
  return tokens >= MIN_SAMPLE_TOKENS && ms > SET_UP_MS
}

export class SpeedEstimate {
  private logSpeed: number
  private count = 0

  private constructor (tokensPerMs: number, private readonly steps: StepSizes) {
    this.logSpeed = Math.log(tokensPerMs)
  }

  static create (tokensPerMs: number, steps: StepSizes): SpeedEstimate {
    return new SpeedEstimate(tokensPerMs, steps)
  }

  get tokensPerMs (): number {
    return Math.exp(this.logSpeed)
  }

  get samples (): number {
    return this.count
  }

  /** How far the next sample may move the logarithm, which is also how far the estimate may be off by noise. */
  get step (): number {
    const { first, last, halvingSamples } = this.steps
    return Math.max(last, first / (1 + this.count / halvingSamples))
  }

  /**
   * Adds the sample of a first event; what is not a sample of the speed changes nothing.
   * @param tokens that were to be read until then, as far as was known when the request was sent.
   * @param ms since it was sent.
   */
  addSample (tokens: number, ms: number): void {
    if (!isSpeedSample(tokens, ms)) {
      return
    }
    const { step } = this
    const sample = Math.log(tokens / (ms - SET_UP_MS))
    const move = Math.max(-step, Math.min(step, sample - this.logSpeed))
    this.logSpeed = Math.min(Math.log(MAX_TOKENS_PER_MS), Math.max(Math.log(MIN_TOKENS_PER_MS), this.logSpeed + move))
    this.count += 1
  }

  /** Continues from an estimate made elsewhere. */
  adopt (tokensPerMs: number, samples: number): void {
    this.logSpeed = Math.log(tokensPerMs)
    this.count = samples
  }
}
