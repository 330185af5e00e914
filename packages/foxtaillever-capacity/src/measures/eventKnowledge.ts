/**
 * Four states of knowledge about caches, from none to every event.
 */
import type { ModelWorker } from './modelWorker.js'

export enum KnowledgeKind {
  Homes = 'computed homes alone',
  Usage = 'and the usage that answers report',
  Thinned = 'and the eight hottest prefixes of each worker, from events',
  All = 'and every event, a second late'
}

export interface PlacementKnowledge {
  /** Workers worth a look, the homes among them. */
  candidates: (homes: readonly number[], prefix: number) => readonly number[]
  isCached: (daemon: number, worker: number, prefix: number, now: number) => boolean
  learn: (daemon: number, worker: number, prefix: number, cached: boolean, now: number) => void
  observe: (workers: readonly ModelWorker[], now: number) => void
}

/** How long a report of usage is believed, milliseconds; about as long as engines keep a prefix. */
const USAGE_MS = 8000

const THINNED_PREFIXES = 8

/** Holders outside the homes that are looked at. */
const MORE_CANDIDATES = 3

const homesAlone: PlacementKnowledge = {
  candidates: homes => homes,
  isCached: () => true,
  learn: () => {},
  observe: () => {}
}

function createUsage (daemons: number): PlacementKnowledge {
  const seen = Array.from({ length: daemons }, () => new Map<string, number>())
  return {
    ...homesAlone,
    isCached: (daemon, worker, prefix, now) => (seen[daemon]!.get(`${worker}/${prefix}`) ?? 0) > now,
    learn: (daemon, worker, prefix, _, now) => { seen[daemon]!.set(`${worker}/${prefix}`, now + USAGE_MS) }
  }
}

function createEvents (daemons: number, most: number): PlacementKnowledge {
  const usage = createUsage(daemons)
  let holders = new Map<number, number[]>()
  let incarnations: readonly number[] = []
  let restarted = new Set<number>()
  return {
    ...usage,
    candidates: (homes, prefix) => [...new Set([...homes, ...(holders.get(prefix) ?? []).slice(0, MORE_CANDIDATES)])],
    isCached: (daemon, worker, prefix, now) => holders.get(prefix)?.includes(worker) === true || (!restarted.has(worker) && usage.isCached(daemon, worker, prefix, now)),
    observe: (workers, now) => {
      const current = workers.map(worker => worker.incarnation())
      restarted = new Set(current.flatMap((incarnation, index) => incarnation === (incarnations[index] ?? 0) ? [] : [index]))
      incarnations = current
      holders = new Map()
      workers.forEach((worker, index) => worker.held(now).slice(0, most).forEach(prefix => {
        holders.set(prefix, [...holders.get(prefix) ?? [], index])
      }))
    }
  }
}

export const knowledges: Record<KnowledgeKind, (daemons: number) => PlacementKnowledge> = {
  [KnowledgeKind.Homes]: () => homesAlone,
  [KnowledgeKind.Usage]: createUsage,
  [KnowledgeKind.Thinned]: daemons => createEvents(daemons, THINNED_PREFIXES),
  [KnowledgeKind.All]: daemons => createEvents(daemons, Infinity)
}
