/**
 * Bytes of what the router tells as soft state, by kind, as facts a second that
 * the fleet tells and as bytes that each daemon then sends and receives.
 */
import { FactKind, factBytes, type Fact } from 'foxtaillever-fleet'
import { twoYearSize } from '../sizes.js'
import { bytesEach } from './schemes.js'

export interface FactLoad {
  readonly title: string
  readonly factsPerSecond: number
  readonly bytesEach: number
}

const now = 1_790_000_000_000

function sizeOf (kind: FactKind, key: string, value: unknown): number {
  const fact: Fact = { source: 'entry-123', kind, key, version: now, deadline: now, value }
  return factBytes(fact)
}

/** As the router packs a load report. */
const report = ['0123456789abcdef', 'v12', 12, 3, 12_345, 345_678, 0, now]

const summary = { incarnation: '0123456789abcdef', doubtful: false, prefixes: Array.from({ length: 8 }, (_, index) => 4_000_000_000 + index) }

function demandOf (accounts: number): readonly unknown[] {
  return Array.from({ length: accounts }, (_, index) => [`account-${index}`, 12_345])
}

/** Share of workers with a queue at the peak, each told by one watcher once a second. */
const QUEUED_SHARE = 0.2

/** Words of one instance on its accounts. */
const DEMAND_WORDS_PER_SECOND = 2

/** Accounts near their limit, and how many of them one daemon meets at once. */
const NEAR_LIMIT_MET = 5
const SUMMARY_SECONDS = 5

export function factLoads (): readonly FactLoad[] {
  const { workers, daemons } = twoYearSize
  return [
    { title: 'load of workers with a queue (20% of them)', factsPerSecond: workers * QUEUED_SHARE, bytesEach: sizeOf(FactKind.ServerLoad, 'language-worker-123', report) },
    { title: 'demand of accounts near their limit (5 met by each daemon)', factsPerSecond: daemons * DEMAND_WORDS_PER_SECOND, bytesEach: sizeOf(FactKind.AccountDemand, 'all', demandOf(NEAR_LIMIT_MET)) },
    { title: 'summaries of cache events of every worker', factsPerSecond: workers / SUMMARY_SECONDS, bytesEach: sizeOf(FactKind.CacheSummary, 'language-worker-123', summary) },
    { title: 'one suspect of a crash', factsPerSecond: 1, bytesEach: sizeOf(FactKind.Suspect, 'f'.repeat(16), { fingerprint: 'f'.repeat(16), crashes: 1, expiresAt: now }) }
  ]
}

/** Bytes a second that each daemon sends and receives for facts that each travel alone. */
export function bytesPerSecondOf ({ factsPerSecond, bytesEach: size }: FactLoad): number {
  return 2 * factsPerSecond * (size + bytesEach().fixed)
}
