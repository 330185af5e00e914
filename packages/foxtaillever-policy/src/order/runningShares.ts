/**
 * Which client accounts run more than their share right now.
 *
 * Fair order decides who goes next, but not what is free when a job comes: an
 * account at ten times its share holds every slot of the servers it uses, and a
 * job of another account has the first turn and still waits for one of them to
 * end. So an account that runs more than twice its share leaves some slots to
 * the others.
 */
import type { WaitingJob } from './waitingJob.js'

/** Above this many times its share an account is heavy. */
const HEAVY_FACTOR = 2

/** With fewer running than this no share is exceeded to speak of. */
const LEAST_RUNNING = 4

interface Running {
  jobs: number
  weight: number
}

export class RunningShares {
  private readonly accounts = new Map<string, Running>()
  private jobs = 0
  private weight = 0

  private constructor () {}

  static create (): RunningShares {
    return new RunningShares()
  }

  add ({ job, weight }: WaitingJob): void {
    this.jobs += 1
    const running = this.accounts.get(job.account)
    if (running) {
      running.jobs += 1
      return
    }
    this.weight += weight
    this.accounts.set(job.account, { jobs: 1, weight })
  }

  remove ({ job }: WaitingJob): void {
    const running = this.accounts.get(job.account)
    if (!running) {
      return
    }
    this.jobs -= 1
    running.jobs -= 1
    if (running.jobs === 0) {
      this.weight -= running.weight
      this.accounts.delete(job.account)
    }
  }

  /** An account that runs alone has no one to leave slots to. */
  isHeavy ({ job }: WaitingJob): boolean {
    const running = this.accounts.get(job.account)
    if (!running || this.accounts.size < 2 || running.jobs < LEAST_RUNNING) {
      return false
    }
    return running.jobs > HEAVY_FACTOR * this.jobs * running.weight / this.weight
  }
}
