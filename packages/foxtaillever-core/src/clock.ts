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

/** A timer that fires this late says that the process stood still, milliseconds; a busy loop is late by some ten. */
const STALL_MS = 50

/** Longest time that is given back after a stall, milliseconds: a call that was under way needs no more once the process runs. */
const MOST_GIVEN_BACK_MS = 1000

/**
 * Runs the task when another process has had until the deadline to answer. Time
 * in which this process stood still is given back once: it may not have sent its
 * call yet, and a silence that it could not hear says nothing of the other side.
 */
export function atAfterSilence (clock: Clock, deadline: number, task: () => void): Cancellation {
  let cancel = clock.at(deadline, () => {
    const lateMs = clock.now() - deadline
    const until = lateMs > STALL_MS ? clock.now() + Math.min(lateMs, MOST_GIVEN_BACK_MS) : deadline
    cancel = atAfterReading(clock, until, task)
  })
  return () => cancel()
}
