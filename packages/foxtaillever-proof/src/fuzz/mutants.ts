/**
 * The table of safeguards and the campaigns that detect when one is missing.
 * A safeguard whose removal no campaign detects is a gap in the proof.
 */
import { allSafeguards, Safeguard } from 'foxtaillever-router'
import { OraclePromise } from '../oracle/oracle.js'
import { runFuzz, type FuzzReport } from './runFuzz.js'

export interface Mutant {
  readonly safeguard: Safeguard
  /** Seed of a campaign that detects the missing safeguard. */
  readonly seed: number
  /** Number of runs within which the campaign detects it. */
  readonly runs: number
  /** The oracle finds one of these promises broken; which one depends on the result of shrinking. */
  readonly broken: readonly OraclePromise[]
}

export const mutants: readonly Mutant[] = [
  { safeguard: Safeguard.ClaimBeforeSend, seed: 1, runs: 600, broken: [OraclePromise.AtMostOnce] },
  { safeguard: Safeguard.IncarnationCheck, seed: 7, runs: 600, broken: [OraclePromise.OwnAnswerInOrder] },
  // An undetected lost event breaks the order of the answer, or its completeness if it was the last event.
  { safeguard: Safeguard.SequenceCheck, seed: 1, runs: 600, broken: [OraclePromise.OwnAnswerInOrder, OraclePromise.AnswerWhole] },
  { safeguard: Safeguard.FencingMargin, seed: 1, runs: 600, broken: [OraclePromise.OneOrderSender] },
  { safeguard: Safeguard.AtOnceDrain, seed: 7, runs: 600, broken: [OraclePromise.OwnStatementAtOnce] }
]

/** Runs the campaign with this one safeguard switched off. */
export async function runMutant ({ safeguard, seed, runs }: Mutant, endsOnFailure = false): Promise<FuzzReport> {
  return await runFuzz({ seed, runs, endsOnFailure, safeguards: { ...allSafeguards, [safeguard]: false } })
}

/** The expected promise that the campaign found broken, if any. */
export function findCaughtPromise ({ broken }: Mutant, { failure }: FuzzReport): OraclePromise | undefined {
  return broken.find(promise => failure.includes(promise))
}
