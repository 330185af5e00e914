/**
 * Estimates how fast the engines of a service read prompts, from their answers.
 *
 * The wait behind other prompts decides which server a request goes to and whether
 * it can be in time. With a speed twice the real one, a queue looks half as long:
 * requests pile up at the few engines that are preferred for another reason, such
 * as newer weights, and all of them are late.
 *
 * Each first event is a sample: the tokens to be read before it, those of waiting
 * prompts included, and the time it took. Load from other instances is known some
 * hundred milliseconds late, a cached level may be missing, and an engine may be
 * paused, so a single sample may be several times too high or too low. The estimate
 * tracks the median of the samples by steps of its logarithm, so that an outlier
 * counts no more than any other sample on its side.
 */

/** Initial estimate, tokens a millisecond: between the engines in use, which read 50 and 110. */
const INITIAL_TOKENS_PER_MS = 75

/** Time that an engine needs before it reads and to generate the first token, milliseconds; small beside a long prompt. */
const SET_UP_MS = 20

/** Minimum tokens of a sample: the time of a shorter prompt depends more on the steps of other requests than on reading. */
const MIN_SAMPLE_TOKENS = 2000

/**
 * Steps of the logarithm: the first ones correct an estimate that is wrong fivefold
 * within forty samples, later ones follow a drift within some forty. Right after a
 * start of all instances, prompts wait behind others that no instance knows of yet;
 * with larger steps the engines would look slow.
 */
const FIRST_STEP = 0.15
const LAST_STEP = 0.03

/** Samples after which a step is half as large as the first. */
const STEP_HALVING_SAMPLES = 8

/** Samples after which an estimate no longer improves. */
export const SETTLED_SAMPLES = 20

/** Bounds of the estimate, tokens a millisecond: no engine is slower or faster. */
const MIN_TOKENS_PER_MS = 2
const MAX_TOKENS_PER_MS = 2000

/** An instance's estimate, as it reports it to others. */
export interface SpeedReport {
  readonly tokensPerMs: number
  readonly samples: number
}

export class PrefillSpeed {
  private logSpeed = Math.log(INITIAL_TOKENS_PER_MS)
  private count = 0

  private constructor () {}

  static create (): PrefillSpeed {
    return new PrefillSpeed()
  }

  get tokensPerMs (): number {
    return Math.exp(this.logSpeed)
  }

  get samples (): number {
    return this.count
  }

  /**
   * Adds the sample of a first event.
   * @param tokens that were to be read until then, as far as was known when the request was sent.
   * @param ms since it was sent.
   */
  addSample (tokens: number, ms: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || ms <= SET_UP_MS) {
      return
    }
    const step = Math.max(LAST_STEP, FIRST_STEP / (1 + this.count / STEP_HALVING_SAMPLES))
    const sample = Math.log(tokens / (ms - SET_UP_MS))
    const move = Math.max(-step, Math.min(step, sample - this.logSpeed))
    this.logSpeed = Math.min(Math.log(MAX_TOKENS_PER_MS), Math.max(Math.log(MIN_TOKENS_PER_MS), this.logSpeed + move))
    this.count += 1
  }

  /** Adopts the estimate of an instance with more samples; only until this instance has SETTLED_SAMPLES of its own. */
  adoptReport ({ tokensPerMs, samples }: SpeedReport): void {
    if (this.count < SETTLED_SAMPLES && samples > this.count && tokensPerMs >= MIN_TOKENS_PER_MS && tokensPerMs <= MAX_TOKENS_PER_MS) {
      this.logSpeed = Math.log(tokensPerMs)
      this.count = Math.min(samples, SETTLED_SAMPLES)
    }
  }
}
