/**
 * The order of all waiting jobs: priority classes one above the other, a floor
 * for the lower ones, fair order over accounts within each.
 *
 * Strict classes alone let the priority class stop bulk work for hours; one
 * notices jobs that wait until their deadline while the fleet is busy. No
 * classes at all let bulk work stand before the firm's. So while both wait, the
 * lower classes get the floor's share of what is served, and no more.
 */
import { PriorityClass } from 'foxtaillever-core'
import { FairClass } from './fairClass.js'
import type { WaitingJob } from './waitingJob.js'

const order = [PriorityClass.Priority, PriorityClass.Standard, PriorityClass.Bulk]

export class FairQueue {
  private readonly classes = new Map(order.map(name => [name, FairClass.create()]))
  /** For each class, cost that those below it are owed, milliseconds. */
  private readonly owed = order.map(() => 0)
  private floorShare = 0
  private skipped: WaitingJob[] = []

  private constructor () {}

  static create (): FairQueue {
    return new FairQueue()
  }

  get size (): number {
    return order.reduce((sum, name) => sum + this.classOf(name).size, 0)
  }

  classOf (name: PriorityClass): FairClass {
    return this.classes.get(name) as FairClass
  }

  setFloor (share: number): void {
    this.floorShare = share
  }

  add (entry: WaitingJob): void {
    this.classOf(entry.job.priority).add(entry)
  }

  remove (entry: WaitingJob): void {
    this.classOf(entry.job.priority).remove(entry)
  }

  /** Next job in order; to be answered with `serve` or `skip`. */
  next (): WaitingJob | undefined {
    return this.pick(0)?.next()
  }

  /** The job was sent: charges the floor. */
  serve (entry: WaitingJob): void {
    const rank = order.indexOf(entry.job.priority)
    for (let above = 0; above <= rank && above < order.length - 1; above += 1) {
      this.charge(above, above === rank, entry.cost)
    }
    this.classOf(entry.job.priority).serve(entry)
  }

  /** The job stays where it is; `endPass` puts it back. */
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

  /** The job to give up for a newcomer of the class: of the lowest class below it that waits. */
  displacedBy (name: PriorityClass): WaitingJob | undefined {
    const below = order.slice(order.indexOf(name) + 1).findLast(lower => this.classOf(lower).size > 0)
    return below && this.classOf(below).lastOfHeaviest()
  }

  /** Cost that waits in the classes above. */
  workAbove (name: PriorityClass): number {
    return order.slice(0, order.indexOf(name)).reduce((sum, above) => sum + this.classOf(above).work, 0)
  }

  private waitsBelow (rank: number): boolean {
    return order.slice(rank + 1).some(name => this.classOf(name).size > 0)
  }

  private charge (rank: number, servedHere: boolean, cost: number): void {
    const own = this.classOf(order[rank] as PriorityClass)
    if (servedHere) {
      this.owed[rank] = this.waitsBelow(rank) ? (this.owed[rank] ?? 0) + cost * this.floorShare : 0
    } else if (own.hasNext()) {
      this.owed[rank] = (this.owed[rank] ?? 0) - cost * (1 - this.floorShare)
    }
  }

  private pick (rank: number): FairClass | undefined {
    const own = this.classOf(order[rank] as PriorityClass)
    const below = rank + 1 < order.length ? this.pick(rank + 1) : undefined
    if (!own.hasNext()) {
      return below
    }
    return below && (this.owed[rank] ?? 0) > 0 ? below : own
  }
}
