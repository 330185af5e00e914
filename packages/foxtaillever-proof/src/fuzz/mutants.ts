/**
 * The table of safeguards and the campaigns that notice when one is missing.
 * A safeguard whose removal no campaign notices is a hole in the proof.
 */
import { allSafeguards, Safeguard } from 'foxtaillever-router'
import { Promised } from '../oracle/oracle.js'
import { runFuzz, type FuzzReport } from './runFuzz.js'

export interface Mutant {
  readonly safeguard: Safeguard
  /** Seed whose campaign notices. */
  readonly seed: number
  /** Lives within which it is noticed. */
  readonly runs: number
  /** The promise that the oracle finds broken. */
  readonly broken: Promised
}

export const mutants: readonly Mutant[] = [
  { safeguard: Safeguard.ClaimBeforeSend, seed: 1, runs: 600, broken: Promised.AtMostOnce },
  { safeguard: Safeguard.IncarnationCheck, seed: 7, runs: 600, broken: Promised.OwnAnswerInOrder },
  { safeguard: Safeguard.SequenceCheck, seed: 1, runs: 600, broken: Promised.OwnAnswerInOrder },
  { safeguard: Safeguard.FencingMargin, seed: 1, runs: 600, broken: Promised.OneGiverOfOrders },
  { safeguard: Safeguard.AtOnceDrain, seed: 7, runs: 600, broken: Promised.OwnWordAtOnce }
]

/** The campaign with the one safeguard switched off. */
export async function runMutant ({ safeguard, seed, runs }: Mutant, endsOnFailure = false): Promise<FuzzReport> {
  return await runFuzz({ seed, runs, endsOnFailure, safeguards: { ...allSafeguards, [safeguard]: false } })
}
