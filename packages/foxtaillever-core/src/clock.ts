/**
 * Time as the rest of the system sees it. Modules store deadlines (milliseconds
 * of Unix time), never durations, and take the clock from outside so that a run
 * can be replayed from its seed.
 */

/** Undoes a scheduled task; harmless when the task has run. */
export type Cancellation = () => void

export interface Clock {
  /** Milliseconds of Unix time. */
  now: () => number
  /** Runs the task once, not before the deadline. */
  at: (deadline: number, task: () => void) => Cancellation
}

/** Node rejects longer timers; they are shortened and set again. */
const LONGEST_TIMER_MS = 2_000_000_000

/**
 * The machine's clock. It is read once from the wall and then follows the
 * monotonic clock, so a step of the wall clock moves no stored deadline.
 */
export class SystemClock implements Clock {
  private constructor (private readonly origin: number) {}

  static create (): SystemClock {
    return new SystemClock(Date.now() - performance.now())
  }

  now (): number {
    return this.origin + performance.now()
  }

  at (deadline: number, task: () => void): Cancellation {
    // A timer waits a millisecond at least; what is due goes to the next turn of the loop.
    if (deadline <= this.now()) {
      const immediate = setImmediate(task)
      return () => clearImmediate(immediate)
    }
    let timer: NodeJS.Timeout
    const arm = (): void => {
      const wait = Math.max(0, deadline - this.now())
      timer = wait > LONGEST_TIMER_MS ? setTimeout(arm, LONGEST_TIMER_MS) : setTimeout(task, wait)
    }
    arm()
    return () => clearTimeout(timer)
  }
}

/** Waits until the deadline. */
export async function waitUntil (clock: Clock, deadline: number): Promise<void> {
  await new Promise<void>(resolve => clock.at(deadline, resolve))
}

/**
 * Runs the task at the deadline, once what has arrived by then was read. A loop
 * that was held up, by its own work or because the machine stood still, finds
 * its timers due before it reads its sockets: an answer that came in time would
 * be taken for silence.
 */
export function atAfterReading (clock: Clock, deadline: number, task: () => void): Cancellation {
  let cancel = clock.at(deadline, () => {
    // What is due already runs after the loop's next turn at its sockets.
    cancel = clock.at(clock.now(), task)
  })
  return () => cancel()
}
