/** Verdicts of several tries taken together: the least harmless one counts. */
import { Verdict } from 'foxtaillever-core'

const ranks: Record<Verdict, number> = {
  [Verdict.NotRun]: 0,
  [Verdict.MayHaveRun]: 1,
  [Verdict.Ran]: 2
}

export function worseVerdict (one: Verdict, other: Verdict): Verdict {
  return ranks[one] >= ranks[other] ? one : other
}
