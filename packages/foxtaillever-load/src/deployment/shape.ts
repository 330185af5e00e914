/**
 * Describes the two current deployments: failure domains, workers, client
 * accounts. Rates are those of the stand-in engines, scaled to one machine.
 */
import { PriorityClass } from 'foxtaillever-core'

export interface AccountShape {
  readonly name: string
  readonly weight: number
  readonly priority: PriorityClass
  /** Relative share of arrivals. */
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
  /** Share of answers that are long, 0 to 1, and how many times longer they are. */
  readonly longAnswerShare: number
  readonly longAnswerFactor: number
  /** Shares of arrivals that go to the plain service, 0 to 1. */
  readonly lookupShare: number
  readonly exportShare: number
  /** Interval after which the most requested catalogue and tenant of each account change, milliseconds. */
  readonly hotShiftMs: number
  /** One-way network delay between caller and entry instance, milliseconds. */
  readonly clientDelayMs: number
  /** Delay of engines' load reports and cache events, milliseconds. */
  readonly reportLagMs: number
  /** Arrivals per second that keep the workers busy without reaching their capacity. */
  readonly requestsPerSecond: number
}

/** Shares of arrivals of the eight accounts; a few are large. */
const ACCOUNT_ARRIVALS = [30, 20, 14, 10, 8, 7, 6, 5]

const LARGE_ACCOUNTS = 2

function createAccounts (): AccountShape[] {
  return ACCOUNT_ARRIVALS.map((share, index) => ({
    name: `account-${index + 1}`,
    weight: index < LARGE_ACCOUNTS ? 2 : 1,
    priority: PriorityClass.Standard,
    arrivals: share
  }))
}

/** The first account is the law firm, whose requests have priority. */
function createLegalAccounts (): AccountShape[] {
  return createAccounts().map((account, index) => index === 0
    ? { ...account, name: 'law-firm', priority: PriorityClass.Priority }
    : account)
}

export const shapes: Record<string, Shape> = {
  sertaneja: {
    name: 'sertaneja',
    failureDomains: ['petrolina', 'juazeiro', 'recife'],
    model: 'order-language',
    workers: 6,
    plainWorkers: 3,
    instances: 6,
    accounts: createAccounts(),
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
    answerTokens: 16,
    longAnswerShare: 0.1,
    longAnswerFactor: 6,
    lookupShare: 0.03,
    exportShare: 0.03,
    hotShiftMs: 6000,
    clientDelayMs: 3,
    reportLagMs: 300,
    requestsPerSecond: 40
  },
  presedan: {
    name: 'presedan',
    failureDomains: ['zg-dubrava', 'zg-jankomir', 'sesvete'],
    model: 'legal-language',
    workers: 6,
    plainWorkers: 3,
    instances: 6,
    accounts: createLegalAccounts(),
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
    answerTokens: 20,
    longAnswerShare: 0.15,
    longAnswerFactor: 6,
    lookupShare: 0.05,
    exportShare: 0.02,
    hotShiftMs: 8000,
    clientDelayMs: 1,
    reportLagMs: 300,
    requestsPerSecond: 25
  }
}
