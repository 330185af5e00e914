/**
 * Recent health of a backend server, from the outcomes of requests alone: probes
 * may succeed while the server fails half of its requests, and the other way
 * round. Faults and slowness are compared with those of all servers and decay, so
 * a server gradually gets work again and is never excluded for good. The result is
 * a cost of placement, not a decision: where all servers fail alike, none costs
 * more than the others, and no server has to take all the work.
 */

/** Half-life of an outcome's weight, milliseconds: servers restart within some seconds. */
const HALF_LIFE_MS = 3000

/** A share of faults up to this multiple of the usual is attributed to chance or to the requests themselves. */
const ORDINARY_FAULT_FACTOR = 1.5

/** Successes that each server is credited with: a single fault may be caused by the request or the network. */
const CREDITED_SUCCESSES = 2

/**
 * Cost of a request that fails for certain, milliseconds: about as bad as
 * missing the objective of most requests.
 */
const FAULT_COST_MS = 800

/** Minimum weight of outcomes before slowness counts: a single answer may be large. */
const MIN_SPEED_WEIGHT = 2

/** Answers up to this multiple of the usual time are ordinary: they queue and differ in size. */
const ORDINARY_SLOWDOWN = 2

/** Maximum slowdown that counts, as a multiple of the usual time. */
const MAX_SLOWDOWN = 10

/** Cost of each multiple beyond ORDINARY_SLOWDOWN, milliseconds: the work of a request without a prompt. */
const SLOWDOWN_COST_MS = 30

export class ServerHealth {
  private successes = 0
  private failures = 0
  private ratioSum = 0
  private ratioWeight = 0
  private countedAt = 0

  private constructor () {}

  static create (): ServerHealth {
    return new ServerHealth()
  }

  /** @param ratio time until the answer began, as a multiple of the usual time of such requests; undefined when unknown. */
  recordSuccess (now: number, ratio: number | undefined): void {
    this.decay(now)
    this.successes += 1
    if (ratio !== undefined) {
      this.ratioSum += Math.min(ratio, MAX_SLOWDOWN)
      this.ratioWeight += 1
    }
  }

  recordFailure (now: number): void {
    this.decay(now)
    this.failures += 1
  }

  /** Share of recent requests that failed, 0 to 1. */
  faultShare (now: number): number {
    this.decay(now)
    return this.failures / (this.failures + this.successes + CREDITED_SUCCESSES)
  }

  /**
   * Cost of placing a request at this server, beside the wait, milliseconds.
   * @param usualFaultShare fault share of all servers of the service.
   */
  cost (now: number, usualFaultShare: number): number {
    const faults = Math.max(0, this.faultShare(now) - ORDINARY_FAULT_FACTOR * usualFaultShare)
    const ratio = this.ratioWeight < MIN_SPEED_WEIGHT ? 0 : this.ratioSum / this.ratioWeight
    return faults * FAULT_COST_MS + Math.max(0, ratio - ORDINARY_SLOWDOWN) * SLOWDOWN_COST_MS
  }

  private decay (now: number): void {
    const left = 0.5 ** (Math.max(0, now - this.countedAt) / HALF_LIFE_MS)
    this.countedAt = Math.max(this.countedAt, now)
    this.successes *= left
    this.failures *= left
    this.ratioSum *= left
    this.ratioWeight *= left
  }
}
