/**
 * Positions in a topic of the platform's store. A store that is restored from an
 * older copy gives offsets out again, so an offset says something only together
 * with the store's era. A position is one number made of both: positions compare
 * as they were given out, and any of a later era is higher than all before it.
 */

/** Offsets in one era: 558 records a second, of 670 servers that beat each 1.2 s, reach it after 60 years. */
const OFFSETS = 2 ** 40

/** Eras that a safe integer has room for besides. */
export const MOST_ERA = 2 ** 13 - 1

export function positionAt (era: number, offset: number): number {
  return era * OFFSETS + offset
}

export function eraOf (position: number): number {
  return Math.floor(position / OFFSETS)
}

export function offsetOf (position: number): number {
  return position % OFFSETS
}

/** As logs and dumps tell it: era and offset. */
export function formatPosition (position: number): string {
  return `${eraOf(position)}/${offsetOf(position)}`
}
