/**
 * How a backend server has done of late, from the outcomes of requests alone:
 * probes may say that it is well while it fails half of its work, and the other
 * way round. Faults and slowness are weighed against what servers usually do,
 * and fade, so work comes back by itself, a little at first, and nobody is set
 * aside for good. The result is a cost of placement rather than a verdict: where
 * all servers fail alike none of them costs more, and none has to bear the rest.
 */

/** After this an outcome counts half, milliseconds: servers restart within some seconds. */
const HALF_LIFE_MS = 3000

/** A share of faults up to so many times the usual is chance, or the requests' own. */
const ORDINARY_FAULTS = 1.5

/** Good outcomes that each server is credited with: one fault alone may be the request's or the network's. */
const CREDIT = 2

/**
 * Cost of a request that fails for certain, milliseconds: about as bad as
 * missing the objective of most requests.
 */
const FAULT_MS = 800

/** Outcomes that must weigh in before slowness is believed: a single answer may be large. */
const LEAST_SPEED_WEIGHT = 2

/** Answers this many times slower than usual are still ordinary: they queue, and differ in size. */
const ORDINARY_RATIO = 2

/** Beyond this all are equally slow, times the usual. */
const HIGHEST_RATIO = 10

/** Cost of each further time the usual, milliseconds: a plain request's work. */
const SLOW_MS = 30

export class ServerHealth {
  private good = 0
  private bad = 0
  private ratioSum = 0
  private ratioWeight = 0
  private countedAt = 0

  private constructor () {}

  static create (): ServerHealth {
    return new ServerHealth()
  }

  /** @param ratio time until the answer began, in times of what is usual for such requests; undefined when unknown. */
  observeGood (now: number, ratio: number | undefined): void {
    this.fade(now)
    this.good += 1
    if (ratio !== undefined) {
      this.ratioSum += Math.min(ratio, HIGHEST_RATIO)
      this.ratioWeight += 1
    }
  }

  observeBad (now: number): void {
    this.fade(now)
    this.bad += 1
  }

  /** Part of the requests of late that failed, 0 to 1. */
  faultShare (now: number): number {
    this.fade(now)
    return this.bad / (this.bad + this.good + CREDIT)
  }

  /**
   * What placing a request there costs beyond the wait, milliseconds.
   * @param usualFaultShare of all servers of the service.
   */
  cost (now: number, usualFaultShare: number): number {
    const faults = Math.max(0, this.faultShare(now) - ORDINARY_FAULTS * usualFaultShare)
    const ratio = this.ratioWeight < LEAST_SPEED_WEIGHT ? 0 : this.ratioSum / this.ratioWeight
    return faults * FAULT_MS + Math.max(0, ratio - ORDINARY_RATIO) * SLOW_MS
  }

  private fade (now: number): void {
    const left = 0.5 ** (Math.max(0, now - this.countedAt) / HALF_LIFE_MS)
    this.countedAt = Math.max(this.countedAt, now)
    this.good *= left
    this.bad *= left
    this.ratioSum *= left
    this.ratioWeight *= left
  }
}
