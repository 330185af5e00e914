/**
 * Lets requests with suspected levels run one at a time, in the whole fleet, or a few at a
 * time where there are many servers: whether one crashes its server or is answered tells the
 * cause from its company, unless two are tried at the same server.
 */

/** A trial without an outcome ends after this, milliseconds: the request waits at a busy server and is then answered, or crashes it. */
const TRIAL_MS = 600

/** Servers for each request that is on trial. */
const SERVERS_PER_TRIAL = 6

interface Trial {
  readonly levels: readonly string[]
  /** Milliseconds of Unix time. */
  readonly beganAt: number
}

export class LevelTrials {
  private running: readonly Trial[] = []

  private constructor () {}

  static create (): LevelTrials {
    return new LevelTrials()
  }

  /**
   * @param levels suspected levels of the request; none for a request that needs no trial.
   * @returns whether the request may be sent now.
   */
  begin (levels: readonly string[], serverCount: number, now: number): boolean {
    if (levels.length === 0) {
      return true
    }
    this.running = this.running.filter(({ beganAt }) => beganAt + TRIAL_MS > now)
    const isFree = this.running.length * SERVERS_PER_TRIAL < serverCount && !this.running.some(trial => trial.levels.some(level => levels.includes(level)))
    if (isFree) {
      this.running = [...this.running, { levels, beganAt: now }]
    }
    return isFree
  }

  /** @param outcomes when requests with the levels were last answered, or crashed their servers, milliseconds of Unix time; trials that began later go on. */
  end (outcomes: ReadonlyMap<string, number>): void {
    this.running = this.running.filter(({ levels, beganAt }) => !levels.some(level => (outcomes.get(level) ?? -Infinity) >= beganAt))
  }
}
