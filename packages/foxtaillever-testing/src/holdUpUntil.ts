/** Keeps the event loop from everything until the instant has passed, as a process without processor is. */
import { SystemClock } from 'foxtaillever-core'

const clock = SystemClock.create()

/** @param instant milliseconds of Unix time. */
export function holdUpUntil (instant: number): void {
  while (clock.now() <= instant);
}
