/**
 * Estimates how fast one server reads prompts, from the first events of all instances.
 *
 * With one speed for all servers of a service, a queue at a slow server looks shorter
 * than it is, and a slow server is the home of as many levels as a fast one. A
 * long-term estimate determines the weight of the server as a home. A short-term one
 * replaces it for placement when the server suddenly becomes slower or faster.
 */
import { SpeedEstimate, type StepSizes } from './speedEstimate.js'

/** What is known of a server's speed. */
export interface ObservedSpeed {
  /** Tokens a millisecond; undefined where the service's speed applies. */
  readonly tokensPerMs: number | undefined
  /** Step of the home weight; see `homeWeight`. */
  readonly weightStep: number
}

/** A server for which the speed of its service applies. */
export const ordinarySpeed: ObservedSpeed = { tokensPerMs: undefined, weightStep: 0 }

/** A server's own speed is used from this number of samples on. */
export const MIN_SAMPLES = 8

/** Samples that an estimate announced by another watcher counts for: with fewer, the first samples after a change of watchers would move it by more than its noise. */
const ADOPTED_SAMPLES = 40

/** Smaller factors between a server's speed and the service's are within the noise of both estimates; with few samples, their noise is added. */
const CLEAR_FACTOR = 1.3

/**
 * The short-term estimate counts if it differs from the long-term one by more than
 * this factor. Each of its samples moves it by up to 1.16; with a factor of 1.3,
 * samples that are wrong by a half would exceed it every few seconds.
 */
const DEPARTURE_FACTOR = 1.7

/** Eight samples on one side move the estimate by a factor of 3.3. */
const SHORT_TERM_STEPS: StepSizes = { first: 0.15, last: 0.15, halvingSamples: 8 }

/** The first samples correct the initial estimate. Later, a server that is slow for a second changes its home weight by one step at most. */
const LONG_TERM_STEPS: StepSizes = { first: 0.15, last: 0.01, halvingSamples: 8 }

/** Weight steps for each doubling of the speed. */
const STEPS_PER_DOUBLING = 2

/** A weight step changes only if the speed is beyond the midpoint between two steps by this share of a step. */
const HYSTERESIS_STEPS = 0.35

/** Bound of a weight step: the weight of a home is at least 1/16 and at most 16. */
const MAX_WEIGHT_STEP = 8

/** Weight of a home with that weight step; 1 for an ordinary server. */
export function homeWeight (weightStep: number): number {
  return weightStep === 0 ? 1 : 2 ** (weightStep / STEPS_PER_DOUBLING)
}

/** Whether the value, received from another instance, is a weight step. */
export function isWeightStep (value: number): boolean {
  return Number.isInteger(value) && Math.abs(value) <= MAX_WEIGHT_STEP
}

function differsBy (factor: number, a: number, b: number): boolean {
  return a > b * factor || b > a * factor
}

export class ServerSpeed {
  private constructor (private readonly shortTerm: SpeedEstimate, private readonly longTerm: SpeedEstimate, private step: number) {}

  /**
   * @param serviceTokensPerMs initial estimate.
   * @param known what another instance has found out about the server; replaces the initial estimate.
   */
  static create (serviceTokensPerMs: number, known: ObservedSpeed = ordinarySpeed): ServerSpeed {
    const { tokensPerMs = serviceTokensPerMs, weightStep } = known
    const longTerm = SpeedEstimate.create(serviceTokensPerMs, LONG_TERM_STEPS)
    if (known.tokensPerMs !== undefined || weightStep !== 0) {
      longTerm.adopt(serviceTokensPerMs * homeWeight(weightStep), ADOPTED_SAMPLES)
    }
    return new ServerSpeed(SpeedEstimate.create(tokensPerMs, SHORT_TERM_STEPS), longTerm, weightStep)
  }

  get samples (): number {
    return this.longTerm.samples
  }

  /** The estimate from which the home weight is computed, tokens a millisecond. */
  get longTermTokensPerMs (): number {
    return this.longTerm.tokensPerMs
  }

  /** Adds the sample of a first event; see `SpeedEstimate`. */
  addSample (tokens: number, ms: number): void {
    this.shortTerm.addSample(tokens, ms)
    this.longTerm.addSample(tokens, ms)
  }

  /** For placement, tokens a millisecond; the service's where there are too few samples or no clear difference. */
  tokensPerMs (serviceTokensPerMs: number): number {
    const longTerm = this.longTerm.tokensPerMs
    const shortTerm = this.shortTerm.tokensPerMs
    const own = differsBy(DEPARTURE_FACTOR, shortTerm, longTerm) ? shortTerm : longTerm
    const clearFactor = CLEAR_FACTOR * Math.exp(this.longTerm.step)
    return this.samples >= MIN_SAMPLES && differsBy(clearFactor, own, serviceTokensPerMs) ? own : serviceTokensPerMs
  }

  /** Step of the home weight, with hysteresis. */
  weightStep (serviceTokensPerMs: number): number {
    if (this.samples < MIN_SAMPLES) {
      return this.step
    }
    const { tokensPerMs, step } = this.longTerm
    const position = STEPS_PER_DOUBLING * Math.log2(tokensPerMs / serviceTokensPerMs)
    const noise = STEPS_PER_DOUBLING * step / Math.LN2
    if (!differsBy(CLEAR_FACTOR, tokensPerMs, serviceTokensPerMs)) {
      this.step = 0
    } else if (Math.abs(position - this.step) > 0.5 + HYSTERESIS_STEPS + noise) {
      this.step = Math.max(-MAX_WEIGHT_STEP, Math.min(MAX_WEIGHT_STEP, Math.round(position)))
    }
    return this.step
  }

  /** What is known of the server's speed now, for other instances. */
  observe (serviceTokensPerMs: number): ObservedSpeed {
    const tokensPerMs = this.tokensPerMs(serviceTokensPerMs)
    return { tokensPerMs: tokensPerMs === serviceTokensPerMs ? undefined : tokensPerMs, weightStep: this.weightStep(serviceTokensPerMs) }
  }

  /** Takes the step from the instance that computes it. */
  adoptWeightStep (weightStep: number): void {
    this.step = weightStep
  }
}
