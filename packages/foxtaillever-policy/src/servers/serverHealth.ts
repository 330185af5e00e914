/**
 * Tracks how late the answers of one backend server are compared with the
 * expected times, and how often they fail. Whether the server is slow is decided
 * by a comparison with its peers, in `compareServers`.
 */

/** Weight of a new answer; after two answers a tenfold slowdown shows as threefold. */
const GAIN = 0.25

/** Noise of the network and of timers, milliseconds; added to both times so that it does not count as lateness. */
const NOISE_MS = 10

/** Without answers the recorded lateness halves in this time, so that the server gets work again. */
const LATENESS_HALF_LIFE_MS = 10_000

/** Duration of the first ejection; doubled each time a probe fails. */
const INITIAL_EJECTION_MS = 1000

/**
 * Each instance sends its own probes, and each probe of a slow server is one late
 * answer. With 6 instances, one probe a second each determined the p99 of the
 * fleet, so the interval grows with the number of instances, up to this factor.
 */
const MAX_PROBE_SPREAD = 8

/** An ejected server is probed at least this often. */
const MAX_EJECTION_MS = 30_000

/** Failures in a row that eject a server; a single failure may be caused by the request. */
export const FAILURES_TO_EJECT = 3

export enum Standing {
  Open = 'open',
  /** Gets no work until `probeAt`; then one request at a time, as a probe. */
  Ejected = 'ejected'
}

export class ServerHealth {
  standing = Standing.Open
  /** Time of the next probe, milliseconds of Unix time. */
  probeAt = 0
  /** How many times slower than its peers; 1 when it is not slower. */
  slowness = 1
  /** Median lateness of the peers at the last comparison, as a ratio. */
  peerLatenessRatio = 1
  failuresInRow = 0
  answerCount = 0
  private lateness = 0
  private latenessAt = 0
  private ejectionMs = INITIAL_EJECTION_MS

  private constructor () {}

  static create (): ServerHealth {
    return new ServerHealth()
  }

  /** Records the observed and the expected time of one answer, for its first token or its decode. */
  recordAnswer (observedMs: number, expectedMs: number, now: number): void {
    const ratio = (observedMs + NOISE_MS) / (expectedMs + NOISE_MS)
    const before = this.decayedLateness(now)
    this.lateness = before + GAIN * (Math.log(ratio) - before)
    this.latenessAt = now
    this.answerCount += 1
    this.failuresInRow = 0
  }

  recordFailure (): void {
    this.failuresInRow += 1
  }

  /** Observed divided by expected time; 1 when on time. */
  latenessRatio (now: number): number {
    return Math.exp(this.decayedLateness(now))
  }

  /** @param instances entry instances, each of which sends its own probes. */
  eject (instances: number, now: number): void {
    this.standing = Standing.Ejected
    this.probeAt = now + Math.min(MAX_EJECTION_MS, this.ejectionMs * Math.min(MAX_PROBE_SPREAD, instances))
    this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2)
  }

  /** Records that a probe was sent; the next one is due after another ejection time, whatever the result. */
  recordProbe (now: number): void {
    this.probeAt = now + this.ejectionMs
  }

  /** Ends the ejection after a probe that was answered in time. */
  restore (): void {
    this.standing = Standing.Open
    this.failuresInRow = 0
    this.lateness = 0
    this.slowness = 1
    this.answerCount = 0
  }

  /** Clears all state after the engine restarted. */
  reset (): void {
    this.restore()
    this.ejectionMs = INITIAL_EJECTION_MS
  }

  private decayedLateness (now: number): number {
    return this.lateness * 2 ** -(Math.max(0, now - this.latenessAt) / LATENESS_HALF_LIFE_MS)
  }
}
