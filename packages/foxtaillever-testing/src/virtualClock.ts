/**
 * A clock that a test advances. Tasks run in order of their deadlines, tasks with
 * the same deadline in the order in which they were scheduled, so a run depends
 * only on its seed.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

interface Task {
  readonly deadline: number
  readonly order: number
  readonly run: () => void
}

export class VirtualClock implements Clock {
  private readonly tasks = new Map<number, Task>()
  private order = 0

  private constructor (private time: number) {}

  static create (start = 1_000_000): VirtualClock {
    return new VirtualClock(start)
  }

  now (): number {
    return this.time
  }

  at (deadline: number, run: () => void): Cancellation {
    const order = this.order++
    this.tasks.set(order, { deadline, order, run })
    return () => { this.tasks.delete(order) }
  }

  /** The map keeps tasks in scheduling order, so the first task with the earliest deadline is next. */
  private findNext (deadline: number): Task | undefined {
    let next: Task | undefined
    for (const task of this.tasks.values()) {
      if (task.deadline <= deadline && (!next || task.deadline < next.deadline)) {
        next = task
      }
    }
    return next
  }

  /** Runs the next task that is due by the deadline; returns false when there is none. */
  private runNext (deadline: number): boolean {
    const next = this.findNext(deadline)
    if (!next) {
      return false
    }
    this.tasks.delete(next.order)
    this.time = Math.max(this.time, next.deadline)
    next.run()
    return true
  }

  /** Advances to the deadline and runs due tasks; after each one, continuations of settled promises run. */
  async advanceTo (deadline: number): Promise<void> {
    await flushPromises()
    while (this.runNext(deadline)) {
      await flushPromises()
    }
    this.time = Math.max(this.time, deadline)
  }

  async advanceBy (milliseconds: number): Promise<void> {
    await this.advanceTo(this.time + milliseconds)
  }
}

/** Runs the continuations of all promises that are settled by now. */
export async function flushPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
