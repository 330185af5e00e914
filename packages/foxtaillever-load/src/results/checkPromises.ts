/**
 * Compares the answers that callers received with what engines and plain
 * services of an embedded deployment counted. The two most harmful false answers
 * are a refusal "not run" of a request that did run, and an export that ran twice.
 */
import { Verdict } from 'foxtaillever-core'
import type { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import type { Answer } from '../workload/answer.js'
import { ArrivalKind } from '../workload/arrival.js'
import { arrivalOf } from '../workload/exportKey.js'

export interface PromiseCheck {
  /** Requests that ran although they were refused with the verdict "not run". */
  readonly ranThoughNotRun: number
  /** Exports that ran more than once. */
  readonly doubledExports: number
  /** Exports that never ran although their answer was complete. */
  readonly lostExports: number
}

/** Removes the suffix, a dot and further characters, by which the router makes a caller's request id unique. */
function callerRequestId (requestId: string): string {
  return requestId.split('.')[0] ?? ''
}

/** Counts how often each export ran on all plain servers together. */
function countExports (deployment: EmbeddedDeployment): Map<string, number> {
  const counts = new Map<string, number>()
  for (const [key, runs] of deployment.plains.flatMap(plain => [...plain.exports])) {
    const id = arrivalOf(key)
    counts.set(id, (counts.get(id) ?? 0) + runs)
  }
  return counts
}

export function checkPromises (deployment: EmbeddedDeployment, answers: readonly Answer[]): PromiseCheck {
  const ran = new Set([...deployment.engines.values()].flatMap(engine => [...engine.runs.keys()].map(callerRequestId)))
  const exports = countExports(deployment)
  const exportsOf = (id: string): number => exports.get(id) ?? 0
  const exported = answers.filter(answer => answer.arrival.kind === ArrivalKind.Export)
  const hasRun = (answer: Answer): boolean => ran.has(answer.arrival.id) || exportsOf(answer.arrival.id) > 0
  return {
    ranThoughNotRun: answers.filter(answer => answer.verdict === Verdict.NotRun && hasRun(answer)).length,
    doubledExports: exported.filter(answer => exportsOf(answer.arrival.id) > 1).length,
    lostExports: exported.filter(answer => answer.state === 'complete' && exportsOf(answer.arrival.id) === 0).length
  }
}
