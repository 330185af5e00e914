/**
 * The speed of each service with which watchers compare the speeds of its servers:
 * the median of what all instances observe. With servers of two speeds, each
 * instance's own estimate lies somewhere between both, depending on its last samples.
 * Compared with these, equal servers with different watchers get different weights.
 */
import { SETTLED_SAMPLES } from './prefillSpeed.js'

export interface ServiceSpeed {
  readonly service: string
  readonly tokensPerMs: number
  readonly samples: number
}

/**
 * Instances whose estimates count before any has settled. The first estimates of a few
 * instances are up to a third off: in a fleet of equal servers, all would seem slow.
 */
const MIN_UNSETTLED = 8

/** By service; nothing for a service that the instances have not observed enough. */
export function medianSpeeds (speeds: readonly ServiceSpeed[]): ReadonlyMap<string, number> {
  const byService = new Map<string, ServiceSpeed[]>()
  for (const speed of speeds) {
    const known = byService.get(speed.service) ?? []
    byService.set(speed.service, known)
    known.push(speed)
  }
  return new Map([...byService].flatMap(([service, known]) => {
    const settled = known.filter(({ samples }) => samples >= SETTLED_SAMPLES)
    const counted = known.length >= MIN_UNSETTLED ? known : settled
    return counted.length === 0 ? [] : [[service, median(counted.map(({ tokensPerMs }) => tokensPerMs))] as const]
  }))
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}
