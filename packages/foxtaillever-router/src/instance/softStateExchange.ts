/**
 * Tells other instances what this one has learnt and takes in what they say:
 * requests suspected of crashing backend servers, and the demand of client
 * accounts near their limit. Without it, a request that crashes engines could
 * be sent through each instance in turn, and an account's limit would be split
 * evenly although its requests are not.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { FactKind, type Fact, type Fleet } from 'foxtaillever-fleet'
import type { AccountDemand, Scheduler, SuspectFact } from 'foxtaillever-policy'

/** As often as the fleet's own systems run, milliseconds. */
const PERIOD_MS = 500

/** Demand is a mean over seconds; an older word says nothing, milliseconds. */
const DEMAND_KEPT_MS = 3000

/** Suspects are told again at a third of this, milliseconds. */
const SUSPECT_TOLD_MS = 15_000

export interface SoftStateOptions {
  /** Of this instance. */
  readonly name: string
  readonly clock: Clock
  readonly fleet: Fleet
  readonly scheduler: Scheduler
}

/** All the demand of one instance goes in one fact, so that its silence on an account is a word too. */
const DEMAND_KEY = 'all'

export class SoftStateExchange {
  private cancel: Cancellation = () => {}
  /** When each suspect is told again, milliseconds of Unix time, and what was told. */
  private readonly told = new Map<string, { readonly again: number, readonly text: string }>()

  private constructor (private readonly options: SoftStateOptions) {}

  static create (options: SoftStateOptions): SoftStateExchange {
    return new SoftStateExchange(options)
  }

  start (): void {
    this.options.fleet.onFact(fact => this.take(fact))
    this.tick()
  }

  stop (): void {
    this.cancel()
  }

  private tick (): void {
    const { clock, fleet, scheduler, name } = this.options
    const now = clock.now()
    const members = fleet.members()
    scheduler.observeInstances(members.length, Math.max(0, members.findIndex(member => member.name === name)))
    this.tellDemand(now)
    this.tellSuspects(now)
    this.cancel = clock.at(now + PERIOD_MS, () => this.tick())
  }

  private tellDemand (now: number): void {
    const demands = this.options.scheduler.demandToShare(now)
    if (demands.length > 0) {
      const value = demands.map(({ account, tokensPerSecond }) => [account, Math.round(tokensPerSecond)])
      this.options.fleet.announceFact(FactKind.AccountDemand, DEMAND_KEY, value, now + DEMAND_KEPT_MS)
    }
  }

  private tellSuspects (now: number): void {
    for (const fact of this.options.scheduler.suspectsToShare(now)) {
      const text = JSON.stringify(fact)
      const told = this.told.get(fact.fingerprint)
      if (!told || told.again <= now || told.text !== text) {
        this.told.set(fact.fingerprint, { again: now + SUSPECT_TOLD_MS / 3, text })
        this.options.fleet.announceFact(FactKind.Suspect, fact.fingerprint, fact, Math.min(fact.expiresAt, now + SUSPECT_TOLD_MS))
      }
    }
    for (const [fingerprint, { again }] of this.told) {
      if (again + SUSPECT_TOLD_MS <= now) {
        this.told.delete(fingerprint)
      }
    }
  }

  private take (fact: Fact): void {
    factHandlers[fact.kind]?.(this.options.scheduler, fact, this.options.clock.now())
  }
}

type FactHandler = (scheduler: Scheduler, fact: Fact, now: number) => void

function readDemands (value: unknown): AccountDemand[] {
  return (value as ReadonlyArray<readonly [string, number]>).map(([account, tokensPerSecond]) => ({ account, tokensPerSecond }))
}

const factHandlers: Partial<Record<FactKind, FactHandler>> = {
  [FactKind.AccountDemand]: (scheduler, fact) => scheduler.observeDemand(fact.source, readDemands(fact.value), fact.deadline),
  [FactKind.Suspect]: (scheduler, fact, now) => scheduler.observeSuspects([fact.value as SuspectFact], now)
}
