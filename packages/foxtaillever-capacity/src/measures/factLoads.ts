/**
 * Computes the load of the router's soft state by kind: facts a second that the
 * fleet announces, and bytes that each daemon sends and receives for them.
 */
import { FactKind, factBytes, type Fact } from 'foxtaillever-fleet'
import { twoYearSize } from '../sizes.js'
import { measureSizes } from './schemes.js'

export interface FactLoad {
  readonly title: string
  readonly factsPerSecond: number
  readonly bytesEach: number
}

const now = 1_790_000_000_000

function measureFactBytes (kind: FactKind, key: string, value: unknown): number {
  const fact: Fact = { source: 'entry-123', kind, key, version: now, deadline: now, value }
  return factBytes(fact)
}

/** Value of a load report, in the router's encoding. */
const loadReport = ['0123456789abcdef', 'v12', 12, 3, 12_345, 345_678, 0, now]

const summary = { incarnation: '0123456789abcdef', doubtful: false, prefixes: Array.from({ length: 8 }, (_, index) => 4_000_000_000 + index) }

function createDemand (accounts: number): readonly unknown[] {
  return Array.from({ length: accounts }, (_, index) => [`account-${index}`, 12_345])
}

/** Share of workers with a queue at the peak; one watcher announces the load of each once a second. */
const QUEUED_SHARE = 0.2

/** Demand reports that one instance sends for its accounts. */
const DEMAND_REPORTS_PER_SECOND = 2

/** Accounts near their limit for which one daemon has requests at the same time. */
const ACCOUNTS_NEAR_LIMIT = 5
const SUMMARY_PERIOD_SECONDS = 5

export function listFactLoads (): readonly FactLoad[] {
  const { workers, daemons } = twoYearSize
  return [
    { title: 'load of workers with a queue (20% of them)', factsPerSecond: workers * QUEUED_SHARE, bytesEach: measureFactBytes(FactKind.ServerLoad, 'language-worker-123', loadReport) },
    { title: 'demand of accounts near their limit (5 met by each daemon)', factsPerSecond: daemons * DEMAND_REPORTS_PER_SECOND, bytesEach: measureFactBytes(FactKind.AccountDemand, 'all', createDemand(ACCOUNTS_NEAR_LIMIT)) },
    { title: 'summaries of cache events of every worker', factsPerSecond: workers / SUMMARY_PERIOD_SECONDS, bytesEach: measureFactBytes(FactKind.CacheSummary, 'language-worker-123', summary) },
    { title: 'one suspect of a crash', factsPerSecond: 1, bytesEach: measureFactBytes(FactKind.Suspect, 'f'.repeat(16), { fingerprint: 'f'.repeat(16), crashes: 1, expiresAt: now }) }
  ]
}

/** Computes the bytes a second that each daemon sends and receives when each message carries one fact. */
export function computeBytesPerSecond ({ factsPerSecond, bytesEach: size }: FactLoad): number {
  return 2 * factsPerSecond * (size + measureSizes().fixed)
}
