/** Polls the stores of cached levels that are assigned to this instance, and reports changes. */
import type { Cancellation, Clock, Failure } from 'foxtaillever-core'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import type { Either } from 'purify-ts'
import type { CacheStore } from '../model/routing.js'

/** What a store states about itself. */
export interface StoreState {
  /** Changes with each start of the store. */
  readonly incarnation: number
  /** Number of its next event; polling from there on keeps the answer short. */
  readonly nextEvent: number
}

/** Calls to stores of cached levels. */
export interface CacheStoreCalls {
  readonly poll: (store: CacheStore, fromEvent: number) => Promise<Either<Failure, StoreState>>
}

/** Between two polls of a store, milliseconds. Two instances poll each store: eight calls a second for two stores. */
const POLL_INTERVAL_MS = 500

/** Between a failed poll and the next one, milliseconds: one lost packet must not make the fleet avoid a store. */
const POLL_RETRY_MS = 150

/** Polls that must fail in a row before a store counts as silent. */
const FAILURES_UNTIL_SILENT = 2

export interface StoreMonitorOptions {
  readonly clock: Clock
  readonly calls: CacheStoreCalls
  /** Stores that this instance must poll now. */
  readonly stores: () => readonly CacheStore[]
  /** A store became silent, answers again or has restarted. */
  readonly onChanged: (report: StoreReport) => void
  /** Called after an unexpected error; the stores are polled again. */
  readonly onError: (error: unknown) => void
}

interface PollState {
  report: StoreReport
  nextEvent: number
  failures: number
}

export class StoreMonitor {
  private readonly polls = new Map<string, PollState>()
  private cancelPoll: Cancellation = () => {}
  private isStopped = false

  private constructor (private readonly options: StoreMonitorOptions) {}

  static create (options: StoreMonitorOptions): StoreMonitor {
    return new StoreMonitor(options)
  }

  start (): void {
    this.pollAll()
  }

  stop (): void {
    this.isStopped = true
    this.cancelPoll()
  }

  /** The reports that other instances get with each heartbeat. */
  reports (): StoreReport[] {
    return [...this.polls.values()].map(({ report }) => report)
  }

  private async pollAll (): Promise<void> {
    const { clock, stores } = this.options
    const watched = stores()
    const addresses = new Set(watched.map(({ address }) => address))
    for (const address of [...this.polls.keys()]) {
      if (!addresses.has(address)) {
        this.polls.delete(address)
      }
    }
    const hasFailed = (await Promise.all(watched.map(async store => await this.pollStore(store).catch((error: unknown) => {
      this.options.onError(error)
      return false
    })))).includes(false)
    if (!this.isStopped) {
      this.cancelPoll = clock.at(clock.now() + (hasFailed ? POLL_RETRY_MS : POLL_INTERVAL_MS), () => { this.pollAll() })
    }
  }

  /** @returns whether the store answered. */
  private async pollStore (store: CacheStore): Promise<boolean> {
    const { address } = store
    const before = this.polls.get(address) ?? { report: { store: address, isSilent: false, incarnation: 0 }, nextEvent: 0, failures: 0 }
    const answer = await this.options.calls.poll(store, before.nextEvent)
    const failures = answer.isRight() ? 0 : before.failures + 1
    const { incarnation, nextEvent } = answer.orDefault({ incarnation: before.report.incarnation, nextEvent: before.nextEvent })
    const report = { store: address, isSilent: failures >= FAILURES_UNTIL_SILENT, incarnation }
    this.polls.set(address, { report, nextEvent, failures })
    if (report.isSilent !== before.report.isSilent || report.incarnation !== before.report.incarnation) {
      this.options.onChanged(report)
    }
    return answer.isRight()
  }
}
