/**
 * Idempotency keys of exports: the creation time, which the router requires
 * for calls that may not be repeated, followed by the arrival's id.
 */
const TIMESTAMP_DIGITS = 13

/** @param now milliseconds of Unix time. */
export function createExportKey (id: string, now: number): string {
  return `${Math.floor(now)}-${id}`
}

export function arrivalOf (exportKey: string): string {
  return exportKey.slice(TIMESTAMP_DIGITS + 1)
}
