/**
 * Sends orders to backend servers while the lease is held: polls the state of
 * each server and sends the desired orders that it does not meet, with at most
 * two loads at once in the whole fleet. A predecessor may have started loads
 * just before its lease ended, so a new holder polls every backend server first
 * and counts unreachable ones as loading for as long as a load may take.
 */
import { Verdict, type Clock, type EngineOrder, type EngineState, type Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { LeaseHolder } from './leaseHolder.js'
import { isLoad, isFulfilled, type DesiredOrder, type DesiredOrders } from './desiredOrders.js'

/** Fetches the state of backend servers and sends orders to them. */
export interface OrderPort {
  fetchState: (server: string) => Promise<Either<Failure, EngineState>>
  /** @param fence called right before the first byte is sent; if it returns a failure, nothing is sent. */
  sendOrder: (server: string, order: EngineOrder, fence: () => Either<Failure, number>) => Promise<Either<Failure, void>>
}

export interface OrderSystemOptions {
  readonly clock: Clock
  readonly holder: LeaseHolder
  readonly desiredOrders: DesiredOrders
  readonly port: OrderPort
  /** All backend servers that take orders. */
  readonly servers: () => readonly string[]
}

export enum FulfilmentState {
  Waiting = 'waiting',
  Sent = 'sent',
  Done = 'done',
  Failed = 'failed'
}

/** More loads at once slow the weight store down. */
export const MAX_CONCURRENT_LOADS = 2

/** Interval between polls of all backend servers, milliseconds. Loads take 0.4 s and more. */
const POLL_INTERVAL_MS = 500

/** How long this instance polls after an operator's query, milliseconds; operators query again within this time. */
const WATCH_DURATION_MS = 60_000

/** After this time a load that was not seen to end counts as lost, milliseconds. */
const MAX_LOAD_DURATION_MS = 10_000

export class OrderSystem {
  private readonly states = new Map<string, EngineState>()
  /** Servers that may be loading, each with the time until which it counts as loading. */
  private readonly loadingUntil = new Map<string, number>()
  private readonly refusals = new Map<number, Failure>()
  private nextPollAt = 0
  private isPolling = false
  private fence = 0
  private watchUntil = 0
  private readonly stateChanges = new Map<number, { readonly state: FulfilmentState, readonly at: number }>()

  private constructor (private readonly options: OrderSystemOptions) {}

  static create (options: OrderSystemOptions): OrderSystem {
    return new OrderSystem(options)
  }

  /** Run at each tick of the loop. */
  tick (now: number): void {
    this.options.holder.tick(now)
    if (this.isPolling || now < this.nextPollAt) {
      return
    }
    this.options.holder.checkLease().caseOf({
      Right: fence => {
        this.nextPollAt = now + POLL_INTERVAL_MS
        this.reconcile(fence)
      },
      Left: () => {
        if (now < this.watchUntil) {
          this.nextPollAt = now + POLL_INTERVAL_MS
          this.pollServersWithOrders()
        }
      }
    })
  }

  /** Called when an operator queries orders here: this instance polls servers for a while, even without the lease. */
  watch (): void {
    this.watchUntil = this.options.clock.now() + WATCH_DURATION_MS
  }

  /** When the current state of an order was first seen, milliseconds of Unix time. */
  changedAt (desired: DesiredOrder): number {
    const state = this.stateOf(desired)
    const known = this.stateChanges.get(desired.offset)
    if (known?.state === state) {
      return known.at
    }
    const at = this.options.clock.now()
    this.stateChanges.set(desired.offset, { state, at })
    return at
  }

  private async pollServersWithOrders (): Promise<void> {
    this.isPolling = true
    const servers = new Set(this.options.desiredOrders.all().map(({ server }) => server))
    await Promise.all([...servers].map(async server => await this.pollServer(server)))
    this.isPolling = false
  }

  private onRefused (desired: DesiredOrder, failure: Failure): void {
    this.refusals.set(desired.offset, failure)
    if (failure.verdict === Verdict.NotRun) {
      this.loadingUntil.delete(desired.server)
    }
  }

  stateOf (desired: DesiredOrder): FulfilmentState {
    const state = this.states.get(desired.server)
    if (state && isFulfilled(state, desired.order)) {
      return FulfilmentState.Done
    }
    if (this.refusals.has(desired.offset)) {
      return FulfilmentState.Failed
    }
    return state?.pendingOrders.some(({ id }) => id === desired.order.id) === true ? FulfilmentState.Sent : FulfilmentState.Waiting
  }

  refusalOf (desired: DesiredOrder): Failure | undefined {
    return this.refusals.get(desired.offset)
  }

  private async reconcile (fence: number): Promise<void> {
    this.isPolling = true
    if (fence !== this.fence) {
      this.beginTenure(fence)
    }
    await Promise.all(this.options.servers().map(async server => await this.pollServer(server)))
    for (const desired of this.options.desiredOrders.all()) {
      await this.reconcileOrder(desired)
    }
    this.isPolling = false
  }

  /** The predecessor's last orders are unknown, so every server counts as loading. */
  private beginTenure (fence: number): void {
    this.fence = fence
    this.states.clear()
    this.loadingUntil.clear()
    const until = this.options.clock.now() + MAX_LOAD_DURATION_MS
    this.options.servers().forEach(server => this.loadingUntil.set(server, until))
  }

  private async pollServer (server: string): Promise<void> {
    const result = await this.options.port.fetchState(server)
    result.caseOf({
      Left: () => { this.states.delete(server) },
      Right: state => {
        this.states.set(server, state)
        if (!state.pendingOrders.some(isLoad)) {
          this.loadingUntil.delete(server)
        } else if (!this.loadingUntil.has(server)) {
          this.loadingUntil.set(server, this.options.clock.now() + MAX_LOAD_DURATION_MS)
        }
      }
    })
  }

  private countLoads (): number {
    const now = this.options.clock.now()
    for (const [server, until] of this.loadingUntil) {
      if (until <= now) {
        this.loadingUntil.delete(server)
      }
    }
    return this.loadingUntil.size
  }

  private async reconcileOrder (desired: DesiredOrder): Promise<void> {
    const { clock, holder, port } = this.options
    const state = this.states.get(desired.server)
    // One order at a time for each server, and only on a state polled after the last one.
    if (!state || state.pendingOrders.length > 0 || isFulfilled(state, desired.order)) {
      return
    }
    if (isLoad(desired.order) && (this.loadingUntil.has(desired.server) || this.countLoads() >= MAX_CONCURRENT_LOADS)) {
      return
    }
    if (isLoad(desired.order)) {
      this.loadingUntil.set(desired.server, clock.now() + MAX_LOAD_DURATION_MS)
    }
    const result = await port.sendOrder(desired.server, desired.order, () => holder.checkLease())
    result
      .ifLeft(failure => this.onRefused(desired, failure))
      .ifRight(() => this.refusals.delete(desired.offset))
    // The state must be polled again before the next order.
    this.states.delete(desired.server)
  }
}
