/**
 * The speed of each service with which watchers compare the speeds of its servers:
 * the median of what all instances observe. With servers of two speeds, each
 * instance's own estimate lies somewhere between both, depending on its last samples.
 * Compared with these, equal servers with different watchers get different weights.
 */
export interface ServiceSpeed {
  readonly service: string
  readonly tokensPerMs: number
}

/** By service; nothing for a service that no instance has observed enough. */
export function medianSpeeds (speeds: readonly ServiceSpeed[]): ReadonlyMap<string, number> {
  const byService = new Map<string, number[]>()
  for (const { service, tokensPerMs } of speeds) {
    const known = byService.get(service) ?? []
    byService.set(service, known)
    known.push(tokensPerMs)
  }
  return new Map([...byService].map(([service, known]) => [service, median(known)]))
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}
