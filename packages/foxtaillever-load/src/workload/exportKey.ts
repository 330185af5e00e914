/**
 * Idempotency keys of exports: the creation time, as the router demands of
 * calls that may not be repeated, and the arrival's id.
 */
const DIGITS_OF_TIME = 13

/** @param now milliseconds of Unix time. */
export function createExportKey (id: string, now: number): string {
  return `${Math.floor(now)}-${id}`
}

export function arrivalOf (exportKey: string): string {
  return exportKey.slice(DIGITS_OF_TIME + 1)
}
