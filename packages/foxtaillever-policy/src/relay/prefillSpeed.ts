/**
 * Estimates how fast the engines of a service read prompts, from their answers.
 *
 * The wait behind other prompts decides which server a request goes to and whether
 * it can be in time. With a speed twice the real one, a queue looks half as long:
 * requests pile up at the few engines that are preferred for another reason, such
 * as newer weights, and all of them are late.
 */
import { MAX_TOKENS_PER_MS, MIN_TOKENS_PER_MS, SpeedEstimate, type StepSizes } from './speedEstimate.js'

/** Initial estimate, tokens a millisecond: between the engines in use, which read 50 and 110. */
const INITIAL_TOKENS_PER_MS = 75

/**
 * Steps of the logarithm: the first ones correct an estimate that is wrong fivefold
 * within forty samples, later ones follow a drift within some forty. Right after a
 * start of all instances, prompts wait behind others that no instance knows of yet;
 * with larger steps the engines would look slow.
 */
const STEPS: StepSizes = { first: 0.15, last: 0.03, halvingSamples: 8 }

/** Samples after which an estimate no longer improves. */
export const SETTLED_SAMPLES = 20

/** Samples from which an estimate counts in the median over all instances, which evens out their errors. */
export const ANNOUNCED_SAMPLES = 8

/** An instance's estimate, as it reports it to others. */
export interface SpeedReport {
  readonly tokensPerMs: number
  readonly samples: number
}

export class PrefillSpeed {
  private readonly estimate = SpeedEstimate.create(INITIAL_TOKENS_PER_MS, STEPS)

  private constructor () {}

  static create (): PrefillSpeed {
    return new PrefillSpeed()
  }

  get tokensPerMs (): number {
    return this.estimate.tokensPerMs
  }

  get samples (): number {
    return this.estimate.samples
  }

  /** Adds the sample of a first event; see `SpeedEstimate`. */
  addSample (tokens: number, ms: number): void {
    this.estimate.addSample(tokens, ms)
  }

  /** Adopts the settled estimate of an instance; only until this instance has SETTLED_SAMPLES of its own. */
  adoptReport ({ tokensPerMs, samples }: SpeedReport): void {
    if (this.samples < SETTLED_SAMPLES && samples >= SETTLED_SAMPLES && tokensPerMs >= MIN_TOKENS_PER_MS && tokensPerMs <= MAX_TOKENS_PER_MS) {
      this.estimate.adopt(tokensPerMs, Math.min(samples, SETTLED_SAMPLES))
    }
  }
}
