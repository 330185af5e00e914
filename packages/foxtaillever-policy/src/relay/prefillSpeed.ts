/**
 * How fast the engines of a service read prompts, learned from answers.
 *
 * The wait behind other prompts decides where a request goes and whether it can
 * be in time. Taken from a machine that reads twice as fast, a queue looks half
 * as long: requests gather at the few engines that look best for another reason,
 * such as newer weights, and all of them are late.
 *
 * Each first event is a sample: the tokens that were to be read before it, those
 * waiting included, and the time it took. What others put there is known some
 * hundred milliseconds late, a cached level may be missing, an engine may stand
 * still: so a single sample may be wrong several times over. The estimate is the
 * median of the speeds, followed by steps of its logarithm, to which a wild
 * sample counts no more than any other on its side.
 */

/** Before anything is known, tokens a millisecond: in the middle of the engines in use, which read 50 and 110. */
const FIRST_GUESS = 75

/** What an engine needs before it reads anything, and to make the first token, milliseconds; counts little beside a long prompt. */
const SET_UP_MS = 20

/** A shorter prompt's time says more of the steps of other requests than of reading, tokens. */
const LEAST_TOKENS = 2000

/**
 * Steps of the logarithm: the first ones bring a guess that is wrong fivefold right
 * within forty samples, later ones follow a drift within some forty. Right after a
 * start of all instances prompts wait behind others that nobody knows of yet; larger
 * steps would take that for slow engines.
 */
const FIRST_STEP = 0.15
const LAST_STEP = 0.03

/** Samples after which a step is half of the first. */
const STEP_HALVED = 8

/** Samples on which an estimate rests that is as good as it gets. */
export const SETTLED_SAMPLES = 20

/** No engine is slower or faster, tokens a millisecond. */
const SLOWEST = 2
const FASTEST = 2000

/** What another instance tells of its estimate. */
export interface SpeedWord {
  readonly tokensPerMs: number
  readonly samples: number
}

export class PrefillSpeed {
  private logSpeed = Math.log(FIRST_GUESS)
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
   * A first event came.
   * @param tokens that were to be read until then, as far as was known when the request was sent.
   * @param ms since it was sent.
   */
  observe (tokens: number, ms: number): void {
    if (tokens < LEAST_TOKENS || ms <= SET_UP_MS) {
      return
    }
    const step = Math.max(LAST_STEP, FIRST_STEP / (1 + this.count / STEP_HALVED))
    const sample = Math.log(tokens / (ms - SET_UP_MS))
    const move = Math.max(-step, Math.min(step, sample - this.logSpeed))
    this.logSpeed = Math.min(Math.log(FASTEST), Math.max(Math.log(SLOWEST), this.logSpeed + move))
    this.count += 1
  }

  /** An instance that has just started believes one that has seen more; later it trusts itself. */
  hear ({ tokensPerMs, samples }: SpeedWord): void {
    if (this.count < SETTLED_SAMPLES && samples > this.count && tokensPerMs >= SLOWEST && tokensPerMs <= FASTEST) {
      this.logSpeed = Math.log(tokensPerMs)
      this.count = Math.min(samples, SETTLED_SAMPLES)
    }
  }
}
