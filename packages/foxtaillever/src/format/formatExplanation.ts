/** Formats the explanation of a request, one line a decision. */
import type { Decision, Explanation } from 'foxtaillever-control'
import { formatInstant } from './formatValues.js'

/** Candidates shown for one decision; `--json` prints all that were kept. */
const MAX_SHOWN_CANDIDATES = 4

function formatCandidates ({ candidates }: Decision): string {
  if (candidates.length === 0) {
    return ''
  }
  const shown = candidates.slice(0, MAX_SHOWN_CANDIDATES).map(({ server, cost }) => `${server} ${Number(cost.toPrecision(4))}`)
  const more = candidates.length > MAX_SHOWN_CANDIDATES ? `, ${candidates.length - MAX_SHOWN_CANDIDATES} more` : ''
  return ` Costs: ${shown.join(', ')}${more}.`
}

function formatDecision (decision: Decision, start: number): string {
  const { kind, at, rule, server, verdict, message } = decision
  const elapsed = `+${Math.round(at - start)} ms`.padStart(10)
  const serverText = server === '' ? '' : ` at ${server}`
  const ruleText = rule === '' ? '' : ` by rule ${rule}`
  const verdictText = verdict === undefined ? '' : ` (${verdict})`
  const messageText = message === '' ? '' : `: ${message}`
  return `${elapsed}  ${kind}${serverText}${ruleText}${verdictText}${messageText}${formatCandidates(decision)}`
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
