/**
 * Creates the dump of a process. It shows a single moment, since nothing here is
 * asynchronous; it is bounded, since each table is truncated; and it has no
 * secrets, since key digests are shortened.
 */
import type { Configuration } from 'foxtaillever-core'
import type { Dump } from 'foxtaillever-control'
import * as R from 'fp-ts/lib/Record.js'
import { pipe } from 'fp-ts/lib/function.js'

/** Maximum entries of one table in a dump; above the number of servers expected in two years, below that of accounts. */
export const MAX_DUMPED_ENTRIES = 1000

/** Digits of a key's digest in a dump: enough to distinguish two keys, too few to search for the key. */
const DIGEST_DIGITS = 8

export interface DumpOptions extends Pick<Dump, 'name' | 'failureDomain' | 'takenAt' | 'parts'> {
  readonly configuration: Configuration
}

function hideKeys ({ accounts, ...rest }: Configuration): Configuration {
  const hidden = pipe(accounts, R.map(account => ({ ...account, keyDigests: account.keyDigests.map(digest => `${digest.slice(0, DIGEST_DIGITS)}...`) })))
  return { ...rest, accounts: hidden }
}

/** Truncates tables and lists at any depth, and counts the omitted entries under their path. */
function truncateTables (value: unknown, path: string, leftOut: Record<string, number>): unknown {
  if (typeof value !== 'object' || value === null) {
    return value
  }
  const entries = Object.entries(value)
  if (entries.length > MAX_DUMPED_ENTRIES) {
    leftOut[path] = entries.length - MAX_DUMPED_ENTRIES
  }
  const kept = entries.slice(0, MAX_DUMPED_ENTRIES).map(([key, part]) => [key, truncateTables(part, `${path}.${key}`, leftOut)] as const)
  return Array.isArray(value) ? kept.map(([, part]) => part) : Object.fromEntries(kept)
}

export function createDump ({ name, failureDomain, takenAt, configuration, parts }: DumpOptions): Dump {
  const leftOut: Record<string, number> = {}
  const whole = { configuration: hideKeys(configuration), ...parts }
  const kept = Object.entries(whole).map(([part, state]) => [part, truncateTables(state, part, leftOut)] as const)
  return { name, failureDomain, takenAt, parts: Object.fromEntries(kept), leftOut }
}
