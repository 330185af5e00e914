/**
 * All jobs that wait at this instance: those in the fair queue, those that pause
 * before a retry, and the latest start of each.
 */
import { Heap } from '../collections/heap.js'
import { FairQueue } from './fairQueue.js'
import type { WaitingJob } from './waitingJob.js'

/** Entries of jobs that are gone which a heap may hold before it is cleaned. */
const MAX_GONE_ENTRIES = 64

export class WaitingJobs {
  readonly queue = FairQueue.create()
  private readonly jobs = new Map<string, WaitingJob>()
  private readonly pausedByTime = Heap.create<WaitingJob>((a, b) => a.notBefore < b.notBefore)
  private readonly byLatestStart = Heap.create<WaitingJob>((a, b) => a.latestStart < b.latestStart)
  private readonly pausedJobs = new Set<WaitingJob>()

  private constructor () {}

  static create (): WaitingJobs {
    return new WaitingJobs()
  }

  get size (): number {
    return this.jobs.size
  }

  get (jobId: string): WaitingJob | undefined {
    return this.jobs.get(jobId)
  }

  addJob (entry: WaitingJob, now: number): void {
    this.jobs.set(entry.job.id, entry)
    this.byLatestStart.push(entry)
    if (entry.notBefore > now) {
      this.pausedJobs.add(entry)
      this.pausedByTime.push(entry)
    } else {
      this.queue.add(entry)
    }
  }

  /** Removes a job that was not sent. */
  removeJob (entry: WaitingJob): void {
    this.jobs.delete(entry.job.id)
    if (this.pausedJobs.delete(entry)) {
      entry.gone = true
    } else {
      this.queue.remove(entry)
    }
    this.trimHeaps()
  }

  /** Records that the job was sent. */
  recordSent (entry: WaitingJob): void {
    this.jobs.delete(entry.job.id)
    this.queue.recordSent(entry)
    this.trimHeaps()
  }

  /** Adds the retries whose pause is over to the fair queue. */
  resumePaused (now: number): void {
    for (let entry = this.pausedByTime.peek(); entry && (entry.gone || entry.notBefore <= now); entry = this.pausedByTime.peek()) {
      this.pausedByTime.pop()
      if (!entry.gone) {
        this.pausedJobs.delete(entry)
        this.queue.add(entry)
      }
    }
  }

  /** Removes and returns the jobs that can no longer end in time. */
  removeExpired (now: number): WaitingJob[] {
    const expired: WaitingJob[] = []
    for (let entry = this.byLatestStart.peek(); entry && (entry.gone || entry.latestStart <= now); entry = this.byLatestStart.peek()) {
      this.byLatestStart.pop()
      if (!entry.gone) {
        this.removeJob(entry)
        expired.push(entry)
      }
    }
    return expired
  }

  private trimHeaps (): void {
    for (const heap of [this.byLatestStart, this.pausedByTime]) {
      if (heap.size > 2 * this.jobs.size + MAX_GONE_ENTRIES) {
        heap.filter(entry => !entry.gone)
      }
    }
  }
}
