/**
 * A clock that a test moves by hand. Tasks run in order of deadline, those of
 * one deadline in order of setting, so a run depends on nothing but its seed.
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

  /** Tasks are kept in order of setting, so the first of the earliest is next. */
  private findNext (deadline: number): Task | undefined {
    let next: Task | undefined
    for (const task of this.tasks.values()) {
      if (task.deadline <= deadline && (!next || task.deadline < next.deadline)) {
        next = task
      }
    }
    return next
  }

  /** Runs the next task, or nothing when none is due by the deadline. */
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

  /** Moves to the deadline; after each task all settled promises go on. */
  async advanceTo (deadline: number): Promise<void> {
    await settle()
    while (this.runNext(deadline)) {
      await settle()
    }
    this.time = Math.max(this.time, deadline)
  }

  async advanceBy (milliseconds: number): Promise<void> {
    await this.advanceTo(this.time + milliseconds)
  }
}

/** Lets every promise that is settled by now go on. */
export async function settle (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
