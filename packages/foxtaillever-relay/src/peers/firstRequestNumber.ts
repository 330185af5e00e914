/** The number with which a process begins to number its requests to other instances. */
import type { Clock } from 'foxtaillever-core'

/** Numbers are sent in four bytes. */
const NUMBER_RANGE = 2 ** 32

/** Follows from the time of the start: a late response to the former process at the address must match no request of this one. */
export function firstRequestNumber (clock: Clock): number {
  return Math.floor(clock.now()) % NUMBER_RANGE
}
