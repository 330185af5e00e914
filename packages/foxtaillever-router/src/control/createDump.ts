/**
 * Makes the dump of a process: of one instant, since nothing here waits;
 * bounded, since each table is cut; without secrets, since digests of keys are
 * shortened to what tells two apart.
 */
import type { Configuration } from 'foxtaillever-core'
import type { Dump } from 'foxtaillever-control'
import * as R from 'fp-ts/lib/Record.js'
import { pipe } from 'fp-ts/lib/function.js'

/** Entries of one table that a dump shows; above the two-year size of servers, below that of accounts. */
export const DUMPED_ENTRIES = 1000

/** Digits of a key's digest that a dump shows: enough to tell two keys apart, too few to search for the key. */
const DIGEST_DIGITS = 8

export interface DumpOptions extends Pick<Dump, 'name' | 'failureDomain' | 'takenAt' | 'parts'> {
  readonly configuration: Configuration
}

function hideKeys ({ accounts, ...rest }: Configuration): Configuration {
  const hidden = pipe(accounts, R.map(account => ({ ...account, keyDigests: account.keyDigests.map(digest => `${digest.slice(0, DIGEST_DIGITS)}...`) })))
  return { ...rest, accounts: hidden }
}

/** Cuts tables and lists, at any depth, and counts what was left out under their path. */
function cut (value: unknown, path: string, leftOut: Record<string, number>): unknown {
  if (typeof value !== 'object' || value === null) {
    return value
  }
  const entries = Object.entries(value)
  if (entries.length > DUMPED_ENTRIES) {
    leftOut[path] = entries.length - DUMPED_ENTRIES
  }
  const kept = entries.slice(0, DUMPED_ENTRIES).map(([key, part]) => [key, cut(part, `${path}.${key}`, leftOut)] as const)
  return Array.isArray(value) ? kept.map(([, part]) => part) : Object.fromEntries(kept)
}

export function createDump ({ name, failureDomain, takenAt, configuration, parts }: DumpOptions): Dump {
  const leftOut: Record<string, number> = {}
  const whole = { configuration: hideKeys(configuration), ...parts }
  const kept = Object.entries(whole).map(([part, state]) => [part, cut(state, part, leftOut)] as const)
  return { name, failureDomain, takenAt, parts: Object.fromEntries(kept), leftOut }
}
