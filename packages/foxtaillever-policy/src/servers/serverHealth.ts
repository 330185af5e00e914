/**
 * What one backend server's answers say of it: how late they are against its
 * own expectation, and how often they fail. Whether that is slow is decided
 * against its peers, in `compareServers`.
 */

/** Weight of a new answer; a tenfold slowdown shows threefold after two. */
const GAIN = 0.25

/** Answers below this are within the noise of the network and of timers, milliseconds. */
const NOISE_MS = 10

/** Without answers the memory of lateness halves in this time, so that the server is tried again. */
const FORGET_MS = 10_000

/** First ejection; doubled each time a probe fails. */
const FIRST_EJECTION_MS = 1000

/**
 * Each instance probes for itself, and each probe of a slow server is one late
 * answer. With 6 instances a probe a second each made the p99 of the fleet, so
 * they probe as much less often as they are more, up to this many times.
 */
const MOST_SPREAD = 8

/** An ejected server is probed at least this often. */
const LONGEST_EJECTION_MS = 30_000

/** Failures in a row that eject; one alone may be the request's own fault. */
export const FAILURES_TO_EJECT = 3

export enum Standing {
  Open = 'open',
  /** Set aside until `probeAt`; then one request at a time is tried. */
  Ejected = 'ejected'
}

export class ServerHealth {
  standing = Standing.Open
  /** Time of the next probe, milliseconds of Unix time. */
  probeAt = 0
  /** How many times slower than its peers; 1 when not. */
  slowness = 1
  /** The peers' median ratio at the last comparison. */
  peers = 1
  failuresInRow = 0
  answers = 0
  private lateness = 0
  private latenessAt = 0
  private ejectionMs = FIRST_EJECTION_MS

  private constructor () {}

  static create (): ServerHealth {
    return new ServerHealth()
  }

  /** Takes one answer's time, first token or decode, against what was expected of it. */
  observe (observedMs: number, expectedMs: number, now: number): void {
    const ratio = (observedMs + NOISE_MS) / (expectedMs + NOISE_MS)
    const before = this.latenessNow(now)
    this.lateness = before + GAIN * (Math.log(ratio) - before)
    this.latenessAt = now
    this.answers += 1
    this.failuresInRow = 0
  }

  observeFailure (): void {
    this.failuresInRow += 1
  }

  /** Observed against expected time, as a factor; 1 when on time. */
  ratio (now: number): number {
    return Math.exp(this.latenessNow(now))
  }

  /** @param instances entry instances, each of which will probe. */
  eject (instances: number, now: number): void {
    this.standing = Standing.Ejected
    this.probeAt = now + Math.min(LONGEST_EJECTION_MS, this.ejectionMs * Math.min(MOST_SPREAD, instances))
    this.ejectionMs = Math.min(LONGEST_EJECTION_MS, this.ejectionMs * 2)
  }

  /** A probe goes out; the next one is due an ejection later whatever becomes of it. */
  probe (now: number): void {
    this.probeAt = now + this.ejectionMs
  }

  /** The probe was answered in time. */
  restore (): void {
    this.standing = Standing.Open
    this.failuresInRow = 0
    this.lateness = 0
    this.slowness = 1
    this.answers = 0
  }

  /** The engine restarted: nothing of the old one holds. */
  reset (): void {
    this.restore()
    this.ejectionMs = FIRST_EJECTION_MS
  }

  private latenessNow (now: number): number {
    return this.lateness * 2 ** -(Math.max(0, now - this.latenessAt) / FORGET_MS)
  }
}
