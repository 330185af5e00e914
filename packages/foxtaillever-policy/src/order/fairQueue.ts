/**
 * The queue of all waiting jobs: priority classes in strict order, a guaranteed
 * share (the floor) for the lower classes, and fair order over accounts within
 * each class.
 *
 * With strict order alone, the priority class could block bulk work for hours;
 * the symptom is jobs that wait until their deadline while the fleet is busy.
 * Without classes, bulk work would run before the firm's. So while both wait, the
 * lower classes get the floor's share of the served cost, and no more.
 */
import { PriorityClass } from 'foxtaillever-core'
import { ClassQueue } from './classQueue.js'
import type { WaitingJob } from './waitingJob.js'

const classOrder = [PriorityClass.Priority, PriorityClass.Standard, PriorityClass.Bulk]

export class FairQueue {
  private readonly classes = new Map(classOrder.map(name => [name, ClassQueue.create()]))
  /** For each class, the cost that the classes below it are owed, milliseconds. */
  private readonly owedCost = classOrder.map(() => 0)
  private floorShare = 0
  private skipped: WaitingJob[] = []

  private constructor () {}

  static create (): FairQueue {
    return new FairQueue()
  }

  get size (): number {
    return classOrder.reduce((sum, name) => sum + this.classOf(name).size, 0)
  }

  classOf (name: PriorityClass): ClassQueue {
    return this.classes.get(name) as ClassQueue
  }

  setFloorShare (share: number): void {
    this.floorShare = share
  }

  add (entry: WaitingJob): void {
    this.classOf(entry.job.priority).add(entry)
  }

  remove (entry: WaitingJob): void {
    this.classOf(entry.job.priority).remove(entry)
  }

  /** Takes the next job in order; the caller then calls `recordSent` or `skip`. */
  takeNext (): WaitingJob | undefined {
    return this.pickClass(0)?.takeNext()
  }

  /** Records that the job was sent, and updates what the lower classes are owed. */
  recordSent (entry: WaitingJob): void {
    const rank = classOrder.indexOf(entry.job.priority)
    for (let above = 0; above <= rank && above < classOrder.length - 1; above += 1) {
      this.updateOwedCost(above, above === rank, entry.cost)
    }
    this.classOf(entry.job.priority).recordSent(entry)
  }

  /** Skips the job in this pass; `endPass` puts it back in its place. */
  skip (entry: WaitingJob): void {
    this.skipped.push(entry)
  }

  endPass (): void {
    for (const entry of this.skipped) {
      if (!entry.gone) {
        this.classOf(entry.job.priority).putBack(entry)
      }
    }
    this.skipped = []
  }

  /** The job to drop for a new one of the class, from the lowest class below it with waiting jobs. */
  findDisplaceable (name: PriorityClass): WaitingJob | undefined {
    const below = classOrder.slice(classOrder.indexOf(name) + 1).findLast(lower => this.classOf(lower).size > 0)
    return below && this.classOf(below).lastJobOfHeaviestAccount()
  }

  /** Cost of the jobs waiting in the classes above. */
  workAbove (name: PriorityClass): number {
    return classOrder.slice(0, classOrder.indexOf(name)).reduce((sum, above) => sum + this.classOf(above).work, 0)
  }

  private hasWaitingBelow (rank: number): boolean {
    return classOrder.slice(rank + 1).some(name => this.classOf(name).size > 0)
  }

  private updateOwedCost (rank: number, isServedClass: boolean, cost: number): void {
    const own = this.classOf(classOrder[rank] as PriorityClass)
    if (isServedClass) {
      this.owedCost[rank] = this.hasWaitingBelow(rank) ? (this.owedCost[rank] ?? 0) + cost * this.floorShare : 0
    } else if (own.hasNext()) {
      this.owedCost[rank] = (this.owedCost[rank] ?? 0) - cost * (1 - this.floorShare)
    }
  }

  private pickClass (rank: number): ClassQueue | undefined {
    const own = this.classOf(classOrder[rank] as PriorityClass)
    const below = rank + 1 < classOrder.length ? this.pickClass(rank + 1) : undefined
    if (!own.hasNext()) {
      return below
    }
    return below && (this.owedCost[rank] ?? 0) > 0 ? below : own
  }
}
