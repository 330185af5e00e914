/**
 * The two deployments of today as data: failure domains, workers, client
 * accounts. Rates are those of the stand-in engines, scaled to one machine.
 */
import { PriorityClass } from 'foxtaillever-core'

export interface AccountShape {
  readonly name: string
  readonly weight: number
  readonly priority: PriorityClass
  /** Share of arrivals. */
  readonly arrivals: number
}

export interface Shape {
  readonly name: string
  readonly failureDomains: readonly string[]
  readonly model: string
  readonly workers: number
  readonly plainWorkers: number
  readonly instances: number
  readonly accounts: readonly AccountShape[]
  readonly slots: number
  readonly prefillTokensPerSecond: number
  readonly decodeTokensPerSecond: number
  readonly cacheTokens: number
  readonly cacheKeptMs: number
  /** Shared levels of a prompt, tokens: catalogue or corpus, then tenant instructions. */
  readonly catalogueTokens: number
  readonly tenantTokens: number
  readonly questionTokens: number
  /** Distinct catalogues of each account. */
  readonly catalogues: number
  /** Distinct instructions below each catalogue. */
  readonly tenants: number
  readonly answerTokens: number
}

function createAccounts (priority: (index: number) => PriorityClass): AccountShape[] {
  // A few of the eight accounts are large.
  const arrivals = [30, 20, 14, 10, 8, 7, 6, 5]
  return arrivals.map((share, index) => ({ name: `account-${index + 1}`, weight: index < 2 ? 2 : 1, priority: priority(index), arrivals: share }))
}

export const shapes: Record<string, Shape> = {
  sertaneja: {
    name: 'sertaneja',
    failureDomains: ['petrolina', 'juazeiro', 'recife'],
    model: 'order-language',
    workers: 6,
    plainWorkers: 3,
    instances: 6,
    accounts: createAccounts(() => PriorityClass.Standard),
    slots: 8,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 60,
    cacheTokens: 24_576,
    cacheKeptMs: 8000,
    catalogueTokens: 2048,
    tenantTokens: 1024,
    questionTokens: 128,
    catalogues: 3,
    tenants: 3,
    answerTokens: 16
  },
  presedan: {
    name: 'presedan',
    failureDomains: ['zg-dubrava', 'zg-jankomir', 'sesvete'],
    model: 'legal-language',
    workers: 6,
    plainWorkers: 3,
    instances: 6,
    accounts: createAccounts(index => index === 0 ? PriorityClass.Priority : PriorityClass.Standard),
    slots: 8,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 60,
    cacheTokens: 49_152,
    cacheKeptMs: 8000,
    catalogueTokens: 6144,
    tenantTokens: 1024,
    questionTokens: 256,
    catalogues: 2,
    tenants: 3,
    answerTokens: 20
  }
}
