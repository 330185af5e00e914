/**
 * Tracks which client accounts run more than their share.
 *
 * Fair order decides which job is next, but not whether a slot is free: an
 * account at ten times its share occupies every slot of the servers it uses, and
 * a job of another account still waits for one of these to end, even as the next
 * in order. So an account that runs more than twice its share leaves some slots
 * to the others.
 */
import type { WaitingJob } from './waitingJob.js'

/** Above this many times its share an account is heavy. */
const HEAVY_FACTOR = 2

/** An account with fewer running jobs than this is never heavy. */
const MIN_RUNNING = 4

interface RunningAccount {
  jobs: number
  weight: number
}

export class RunningShares {
  private readonly accounts = new Map<string, RunningAccount>()
  private jobs = 0
  private weight = 0

  private constructor () {}

  static create (): RunningShares {
    return new RunningShares()
  }

  addJob ({ job, weight }: WaitingJob): void {
    this.jobs += 1
    const running = this.accounts.get(job.account)
    if (running) {
      running.jobs += 1
      return
    }
    this.weight += weight
    this.accounts.set(job.account, { jobs: 1, weight })
  }

  removeJob ({ job }: WaitingJob): void {
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

  /** Whether the job's account is heavy; an account that runs alone never is. */
  isHeavy ({ job }: WaitingJob): boolean {
    const running = this.accounts.get(job.account)
    if (!running || this.accounts.size < 2 || running.jobs < MIN_RUNNING) {
      return false
    }
    return running.jobs > HEAVY_FACTOR * this.jobs * running.weight / this.weight
  }
}
