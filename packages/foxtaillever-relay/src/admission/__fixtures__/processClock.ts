/** The clock of a simulated process, whose tasks run only while the process does. */
import type { Cancellation, Clock } from 'foxtaillever-core'

export interface SimulatedProcess {
  /** By how much its clock is ahead, milliseconds. */
  readonly clockOffsetMs: number
  /** Increases with each restart. */
  readonly generation: number
  readonly isFrozen: boolean
  /** What waits until a suspended process runs again. */
  readonly inbox: Array<() => void>
}

export function createProcessClock (clock: Clock, process: SimulatedProcess): Clock {
  const { generation, clockOffsetMs } = process
  const run = (task: () => void, isCancelled: () => boolean): void => {
    if (isCancelled() || process.generation !== generation) {
      return
    }
    if (process.isFrozen) {
      process.inbox.push(() => run(task, isCancelled))
    } else {
      task()
    }
  }
  const at = (deadline: number, task: () => void): Cancellation => {
    let isCancelled = false
    clock.at(deadline - clockOffsetMs, () => run(task, () => isCancelled))
    return () => { isCancelled = true }
  }
  return { now: () => clock.now() + clockOffsetMs, at }
}
