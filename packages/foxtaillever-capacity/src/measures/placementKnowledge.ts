/** Four levels of knowledge about caches, from computed homes alone to every cache event. */
import type { ModelWorker } from './modelWorker.js'

export enum KnowledgeKind {
  Homes = 'computed homes alone',
  Usage = 'and the usage that answers report',
  Thinned = 'and the eight hottest prefixes of each worker, from events',
  All = 'and every event, a second late'
}

export interface PlacementKnowledge {
  /** Workers whose cost is estimated, the homes among them. */
  candidates: (homes: readonly number[], prefix: number) => readonly number[]
  isCached: (daemon: number, worker: number, prefix: number, now: number) => boolean
  recordUsage: (daemon: number, worker: number, prefix: number, cached: boolean, now: number) => void
  applyReports: (workers: readonly ModelWorker[], now: number) => void
}

/** How long a usage report is valid, milliseconds; about as long as engines cache a prefix. */
const USAGE_VALID_MS = 8000

const THINNED_PREFIXES = 8

/** Most workers outside the homes that are candidates because they hold the prefix. */
const MAX_OTHER_HOLDERS = 3

const homesAlone: PlacementKnowledge = {
  candidates: homes => homes,
  isCached: () => true,
  recordUsage: () => {},
  applyReports: () => {}
}

function createUsageKnowledge (daemons: number): PlacementKnowledge {
  const cachedUntil = Array.from({ length: daemons }, () => new Map<string, number>())
  return {
    ...homesAlone,
    isCached: (daemon, worker, prefix, now) => (cachedUntil[daemon]!.get(`${worker}/${prefix}`) ?? 0) > now,
    recordUsage: (daemon, worker, prefix, _, now) => { cachedUntil[daemon]!.set(`${worker}/${prefix}`, now + USAGE_VALID_MS) }
  }
}

function createEventKnowledge (daemons: number, maxPrefixes: number): PlacementKnowledge {
  const usage = createUsageKnowledge(daemons)
  let holders = new Map<number, number[]>()
  let incarnations: readonly number[] = []
  let restarted = new Set<number>()
  return {
    ...usage,
    candidates: (homes, prefix) => [...new Set([...homes, ...(holders.get(prefix) ?? []).slice(0, MAX_OTHER_HOLDERS)])],
    isCached: (daemon, worker, prefix, now) => holders.get(prefix)?.includes(worker) === true || (!restarted.has(worker) && usage.isCached(daemon, worker, prefix, now)),
    applyReports: (workers, now) => {
      const current = workers.map(worker => worker.incarnation())
      restarted = new Set(current.flatMap((incarnation, index) => incarnation === (incarnations[index] ?? 0) ? [] : [index]))
      incarnations = current
      holders = new Map()
      workers.forEach((worker, index) => worker.listCachedPrefixes(now).slice(0, maxPrefixes).forEach(prefix => {
        holders.set(prefix, [...holders.get(prefix) ?? [], index])
      }))
    }
  }
}

export const knowledgeFactories: Record<KnowledgeKind, (daemons: number) => PlacementKnowledge> = {
  [KnowledgeKind.Homes]: () => homesAlone,
  [KnowledgeKind.Usage]: createUsageKnowledge,
  [KnowledgeKind.Thinned]: daemons => createEventKnowledge(daemons, THINNED_PREFIXES),
  [KnowledgeKind.All]: daemons => createEventKnowledge(daemons, Infinity)
}
