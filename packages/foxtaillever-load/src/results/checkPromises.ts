/**
 * Compares what callers were told with what engines and plain services of an
 * embedded deployment counted: a refusal "not run" whose request did run, and an
 * export that ran twice, are the two lies that hurt most.
 */
import { Verdict } from 'foxtaillever-core'
import type { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import type { Answer } from '../workload/answer.js'
import { ArrivalKind } from '../workload/arrival.js'

export interface PromiseCheck {
  /** Refused with the verdict "not run", and yet run. */
  readonly ranThoughNotRun: number
  /** Exports that ran more than once. */
  readonly doubledExports: number
  /** Exports whose answer was complete and that never ran. */
  readonly lostExports: number
}

/** The router makes a caller's request id unique with a dot and more. */
function callersId (requestId: string): string {
  return requestId.split('.')[0] ?? ''
}

export function checkPromises (deployment: EmbeddedDeployment, answers: readonly Answer[]): PromiseCheck {
  const ran = new Set([...deployment.engines.values()].flatMap(engine => [...engine.runs.keys()].map(callersId)))
  const exportsOf = (id: string): number => deployment.plains.reduce((sum, plain) => sum + (plain.exports.get(id) ?? 0), 0)
  const exported = answers.filter(answer => answer.arrival.kind === ArrivalKind.Export)
  const hasRun = (answer: Answer): boolean => ran.has(answer.arrival.id) || exportsOf(answer.arrival.id) > 0
  return {
    ranThoughNotRun: answers.filter(answer => answer.verdict === Verdict.NotRun && hasRun(answer)).length,
    doubledExports: exported.filter(answer => exportsOf(answer.arrival.id) > 1).length,
    lostExports: exported.filter(answer => answer.state === 'complete' && exportsOf(answer.arrival.id) === 0).length
  }
}
