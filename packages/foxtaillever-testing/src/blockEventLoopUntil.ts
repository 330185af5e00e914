/** Blocks the event loop until a time has passed, like a process that gets no processor time. */
import { SystemClock } from 'foxtaillever-core'

const clock = SystemClock.create()

/** @param instant milliseconds of Unix time. */
export function blockEventLoopUntil (instant: number): void {
  while (clock.now() <= instant);
}
