/**
 * An explanation as a story, one line a decision.
 */
import type { Decision, Explanation } from 'foxtaillever-control'
import { formatInstant } from './formatValues.js'

/** Candidates shown for one decision; JSON has all that were kept. */
const SHOWN_CANDIDATES = 4

function formatCandidates ({ candidates }: Decision): string {
  if (candidates.length === 0) {
    return ''
  }
  const shown = candidates.slice(0, SHOWN_CANDIDATES).map(({ server, cost }) => `${server} ${Number(cost.toPrecision(4))}`)
  const more = candidates.length > SHOWN_CANDIDATES ? `, ${candidates.length - SHOWN_CANDIDATES} more` : ''
  return ` Costs: ${shown.join(', ')}${more}.`
}

function formatDecision (decision: Decision, start: number): string {
  const { kind, at, rule, server, verdict, message } = decision
  const after = `+${Math.round(at - start)} ms`.padStart(10)
  const where = server === '' ? '' : ` at ${server}`
  const why = rule === '' ? '' : ` by rule ${rule}`
  const word = verdict === undefined ? '' : ` (${verdict})`
  const text = message === '' ? '' : `: ${message}`
  return `${after}  ${kind}${where}${why}${word}${text}${formatCandidates(decision)}`
}

export function formatExplanation (explanation: Explanation): string {
  const { requestId, instance, account, model, arrivedAt, deadline, decisions, leftOut } = explanation
  return [
    `request ${requestId} of ${account}, model ${model || 'none'}, served by ${instance}`,
    `arrived ${formatInstant(arrivedAt)}, deadline ${Math.round(deadline - arrivedAt)} ms later`,
    ...decisions.map(decision => formatDecision(decision, arrivedAt)),
    ...(leftOut > 0 ? [`${leftOut} more decisions were left out`] : []),
    ''
  ].join('\n')
}
