/**
 * Shares soft state with other instances: requests suspected of crashing backend
 * servers, and the demand of client accounts near their limit. Without it, a
 * request that crashes engines could be sent through each instance in turn, and
 * an account's limit would be split evenly although its requests are not.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { FactKind, type Fact, type Fleet } from 'foxtaillever-fleet'
import type { AccountDemand, Scheduler, SuspectFact } from 'foxtaillever-policy'

/** The same interval as that of the fleet's own systems, milliseconds. */
const PERIOD_MS = 500

/** How long a reported demand is valid, milliseconds; demand is a mean over seconds. */
const DEMAND_KEPT_MS = 3000

/** How long an announced suspect is kept, milliseconds; it is announced again after a third of this. */
const SUSPECT_KEPT_MS = 15_000

export interface SoftStateOptions {
  /** Of this instance. */
  readonly name: string
  readonly clock: Clock
  readonly fleet: Fleet
  readonly scheduler: Scheduler
}

/** All the demand of one instance is one fact, so that an account without demand is known as such. */
const DEMAND_KEY = 'all'

export class SoftStateSharing {
  private cancel: Cancellation = () => {}
  /** The last announcement of each suspect, and when it is announced again, milliseconds of Unix time. */
  private readonly announced = new Map<string, { readonly announceAgainAt: number, readonly text: string }>()

  private constructor (private readonly options: SoftStateOptions) {}

  static create (options: SoftStateOptions): SoftStateSharing {
    return new SoftStateSharing(options)
  }

  start (): void {
    this.options.fleet.onFact(fact => this.applyFact(fact))
    this.tick()
  }

  stop (): void {
    this.cancel()
  }

  private tick (): void {
    const { clock, fleet, scheduler, name } = this.options
    const now = clock.now()
    const members = fleet.members()
    scheduler.setInstances(members.length, Math.max(0, members.findIndex(member => member.name === name)))
    this.announceDemand(now)
    this.announceSuspects(now)
    this.cancel = clock.at(now + PERIOD_MS, () => this.tick())
  }

  private announceDemand (now: number): void {
    const demands = this.options.scheduler.demandToAnnounce(now)
    if (demands.length > 0) {
      const value = demands.map(({ account, tokensPerSecond }) => [account, Math.round(tokensPerSecond)])
      this.options.fleet.announceFact(FactKind.AccountDemand, DEMAND_KEY, value, now + DEMAND_KEPT_MS)
    }
  }

  private announceSuspects (now: number): void {
    for (const fact of this.options.scheduler.suspectsToAnnounce(now)) {
      const text = JSON.stringify(fact)
      const last = this.announced.get(fact.fingerprint)
      if (!last || last.announceAgainAt <= now || last.text !== text) {
        this.announced.set(fact.fingerprint, { announceAgainAt: now + SUSPECT_KEPT_MS / 3, text })
        this.options.fleet.announceFact(FactKind.Suspect, fact.fingerprint, fact, Math.min(fact.expiresAt, now + SUSPECT_KEPT_MS))
      }
    }
    for (const [fingerprint, { announceAgainAt: again }] of this.announced) {
      if (again + SUSPECT_KEPT_MS <= now) {
        this.announced.delete(fingerprint)
      }
    }
  }

  private applyFact (fact: Fact): void {
    factHandlers[fact.kind]?.(this.options.scheduler, fact, this.options.clock.now())
  }
}

type FactHandler = (scheduler: Scheduler, fact: Fact, now: number) => void

function readDemands (value: unknown): AccountDemand[] {
  return (value as ReadonlyArray<readonly [string, number]>).map(([account, tokensPerSecond]) => ({ account, tokensPerSecond }))
}

const factHandlers: Partial<Record<FactKind, FactHandler>> = {
  [FactKind.AccountDemand]: (scheduler, fact) => scheduler.applyPeerDemand(fact.source, readDemands(fact.value), fact.deadline),
  [FactKind.Suspect]: (scheduler, fact, now) => scheduler.applySuspects([fact.value as SuspectFact], now)
}
