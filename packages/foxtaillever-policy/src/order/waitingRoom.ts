/**
 * All jobs that wait at this instance: those in order, those that pause before
 * a retry, and the times by which each must have started.
 */
import { Heap } from '../collections/heap.js'
import { FairQueue } from './fairQueue.js'
import type { WaitingJob } from './waitingJob.js'

/** Dead entries that a heap may carry beyond the living. */
const DEAD_ALLOWED = 64

export class WaitingRoom {
  readonly queue = FairQueue.create()
  private readonly jobs = new Map<string, WaitingJob>()
  private readonly paused = Heap.create<WaitingJob>((one, other) => one.notBefore < other.notBefore)
  private readonly expiring = Heap.create<WaitingJob>((one, other) => one.latestStart < other.latestStart)
  private readonly pausing = new Set<WaitingJob>()

  private constructor () {}

  static create (): WaitingRoom {
    return new WaitingRoom()
  }

  get size (): number {
    return this.jobs.size
  }

  get (jobId: string): WaitingJob | undefined {
    return this.jobs.get(jobId)
  }

  add (entry: WaitingJob, now: number): void {
    this.jobs.set(entry.job.id, entry)
    this.expiring.push(entry)
    if (entry.notBefore > now) {
      this.pausing.add(entry)
      this.paused.push(entry)
    } else {
      this.queue.add(entry)
    }
  }

  /** The job leaves without having been sent. */
  remove (entry: WaitingJob): void {
    this.jobs.delete(entry.job.id)
    if (this.pausing.delete(entry)) {
      entry.gone = true
    } else {
      this.queue.remove(entry)
    }
    this.trim()
  }

  /** The job was sent. */
  serve (entry: WaitingJob): void {
    this.jobs.delete(entry.job.id)
    this.queue.serve(entry)
    this.trim()
  }

  /** Puts the retries whose pause is over in order. */
  wakePaused (now: number): void {
    for (let entry = this.paused.peek(); entry && (entry.gone || entry.notBefore <= now); entry = this.paused.peek()) {
      this.paused.pop()
      if (!entry.gone) {
        this.pausing.delete(entry)
        this.queue.add(entry)
      }
    }
  }

  /** Takes out the jobs that can no longer end in time. */
  takeExpired (now: number): WaitingJob[] {
    const expired: WaitingJob[] = []
    for (let entry = this.expiring.peek(); entry && (entry.gone || entry.latestStart <= now); entry = this.expiring.peek()) {
      this.expiring.pop()
      if (!entry.gone) {
        this.remove(entry)
        expired.push(entry)
      }
    }
    return expired
  }

  private trim (): void {
    for (const heap of [this.expiring, this.paused]) {
      if (heap.size > 2 * this.jobs.size + DEAD_ALLOWED) {
        heap.keep(entry => !entry.gone)
      }
    }
  }
}
