/** Combines verdicts of several attempts: the worst one counts. */
import { Verdict } from 'foxtaillever-core'

const ranks: Record<Verdict, number> = {
  [Verdict.NotRun]: 0,
  [Verdict.MayHaveRun]: 1,
  [Verdict.Ran]: 2
}

export function worseVerdict (a: Verdict, b: Verdict): Verdict {
  return ranks[a] >= ranks[b] ? a : b
}
