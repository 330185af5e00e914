/**
 * Positions in a topic of the platform's store. A store that is restored from a
 * backup assigns offsets again, so an offset is unique only together with the
 * store's era. A position combines both in one number: positions compare in the
 * order of assignment, and any of a later era is higher than all of earlier ones.
 */

/** Offsets in one era: 670 servers with a heartbeat every 1.2 s write 558 records a second and reach it after 60 years. */
const OFFSETS_PER_ERA = 2 ** 40

/** Highest era for which a position is still a safe integer. */
export const MAX_ERA = 2 ** 13 - 1

export function positionAt (era: number, offset: number): number {
  return era * OFFSETS_PER_ERA + offset
}

export function eraOf (position: number): number {
  return Math.floor(position / OFFSETS_PER_ERA)
}

export function offsetOf (position: number): number {
  return position % OFFSETS_PER_ERA
}

/** Format of logs and dumps: era/offset. */
export function formatPosition (position: number): string {
  return `${eraOf(position)}/${offsetOf(position)}`
}
