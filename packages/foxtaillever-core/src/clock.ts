/**
 * The clock that all modules use. They store deadlines (milliseconds of Unix
 * time), never durations, and get the clock passed in, so that a run can be
 * replayed from its seed.
 */

/** Cancels a scheduled task; has no effect when the task has run. */
export type Cancellation = () => void

export interface Clock {
  /** Milliseconds of Unix time. */
  now: () => number
  /** Runs the task once, at the deadline or later. */
  at: (deadline: number, task: () => void) => Cancellation
}

/** Node does not support longer timers; a longer wait is split into several. */
const MAX_TIMER_MS = 2_000_000_000

/**
 * The machine's clock. It reads the wall clock once and then follows the
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
    // A timer waits at least a millisecond; a task that is due runs in the next turn of the event loop.
    if (deadline <= this.now()) {
      const immediate = setImmediate(task)
      return () => clearImmediate(immediate)
    }
    let timer: NodeJS.Timeout
    const arm = (): void => {
      const wait = Math.max(0, deadline - this.now())
      timer = wait > MAX_TIMER_MS ? setTimeout(arm, MAX_TIMER_MS) : setTimeout(task, wait)
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
 * Runs the task at the deadline, after everything that has arrived by then was
 * read. After a delay, by its own work or because the machine was suspended, the
 * event loop runs due timers before it reads sockets: an answer that arrived in
 * time would count as missing.
 */
export function atAfterReading (clock: Clock, deadline: number, task: () => void): Cancellation {
  let cancel = clock.at(deadline, () => {
    // A task that is due already runs after the event loop has read its sockets once.
    cancel = clock.at(clock.now(), task)
  })
  return () => cancel()
}

/** Longest extension of a deadline after a stall, milliseconds: a call in flight needs no more once the process runs again. */
const MAX_EXTENSION_MS = 1000

/**
 * Runs the task when another process has had until the deadline to answer. If
 * this process stalls meanwhile, because it is suspended or its event loop is busy,
 * the deadline is extended by that time: this process may not have sent its call
 * yet, and an answer that it could not receive says nothing about the other process.
 * A stall shows as a late timer, so one timer runs at half of the time: a stall that
 * ends shortly before the deadline would make no timer at the deadline late.
 */
export function atAfterSilence (clock: Clock, deadline: number, task: () => void): Cancellation {
  const lateMsAt = (due: number): number => Math.min(MAX_EXTENSION_MS, Math.max(0, clock.now() - due))
  const half = (clock.now() + deadline) / 2
  let cancel = clock.at(half, () => {
    const extended = deadline + lateMsAt(half)
    cancel = clock.at(extended, () => {
      cancel = atAfterReading(clock, clock.now() + lateMsAt(extended), task)
    })
  })
  return () => cancel()
}
