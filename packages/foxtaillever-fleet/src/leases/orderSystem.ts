/**
 * Gives orders to backend servers while the lease is held: observes what each
 * has, and orders what is wanted and missing, at most two loads at once in the
 * whole fleet. A predecessor may have begun loads in its last moment, so a new
 * holder looks at every backend server first and counts those that it cannot
 * see as loading for as long as a load may take.
 */
import { Verdict, type Clock, type EngineOrder, type EngineState, type Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { LeaseHolder } from './leaseHolder.js'
import { isLoad, isObserved, type Want, type WantFold } from './wantedState.js'

/** The narrow interface to backend servers' orders. */
export interface OrderPort {
  state: (server: string) => Promise<Either<Failure, EngineState>>
  /** @param fence asked right before the first byte leaves; its left side holds the byte back. */
  give: (server: string, order: EngineOrder, fence: () => Either<Failure, number>) => Promise<Either<Failure, void>>
}

export interface OrderSystemOptions {
  readonly clock: Clock
  readonly holder: LeaseHolder
  readonly wants: WantFold
  readonly port: OrderPort
  /** All backend servers that take orders. */
  readonly servers: () => readonly string[]
}

export enum WantState {
  Waiting = 'waiting',
  Sent = 'sent',
  Done = 'done',
  Failed = 'failed'
}

/** The weight store slows down beyond this. */
export const LOADS_AT_ONCE = 2

/** Between two looks at all backend servers, milliseconds; short against a load of 0.4 s and more. */
const LOOK_MS = 500

/** An operator who asked once asks again within this time, milliseconds. */
const WATCH_MS = 60_000

/** After this a load that was not seen to end counts as lost, milliseconds. */
const LONGEST_LOAD_MS = 10_000

export class OrderSystem {
  private readonly states = new Map<string, EngineState>()
  /** Servers that may be loading, each until a stored deadline. */
  private readonly loading = new Map<string, number>()
  private readonly refusals = new Map<number, Failure>()
  private lookAt = 0
  private isLooking = false
  private fence = 0
  private watchUntil = 0
  private readonly changes = new Map<number, { readonly state: WantState, readonly at: number }>()

  private constructor (private readonly options: OrderSystemOptions) {}

  static create (options: OrderSystemOptions): OrderSystem {
    return new OrderSystem(options)
  }

  /** Run at each tick of the loop. */
  tick (now: number): void {
    this.options.holder.tick(now)
    if (this.isLooking || now < this.lookAt) {
      return
    }
    this.options.holder.check().caseOf({
      Right: fence => {
        this.lookAt = now + LOOK_MS
        this.work(fence)
      },
      Left: () => {
        if (now < this.watchUntil) {
          this.lookAt = now + LOOK_MS
          this.observe()
        }
      }
    })
  }

  /** An operator asks here: for a while this instance looks too, whoever holds the lease. */
  watch (): void {
    this.watchUntil = this.options.clock.now() + WATCH_MS
  }

  /** When the state of a want was first seen as it is, milliseconds of Unix time. */
  changedAt (want: Want): number {
    const state = this.stateOf(want)
    const known = this.changes.get(want.offset)
    if (known?.state === state) {
      return known.at
    }
    const at = this.options.clock.now()
    this.changes.set(want.offset, { state, at })
    return at
  }

  private async observe (): Promise<void> {
    this.isLooking = true
    const wanted = new Set(this.options.wants.all().map(({ server }) => server))
    await Promise.all([...wanted].map(async server => await this.look(server)))
    this.isLooking = false
  }

  private onRefused (want: Want, failure: Failure): void {
    this.refusals.set(want.offset, failure)
    if (failure.verdict === Verdict.NotRun) {
      this.loading.delete(want.server)
    }
  }

  stateOf (want: Want): WantState {
    const state = this.states.get(want.server)
    if (state && isObserved(state, want.order)) {
      return WantState.Done
    }
    if (this.refusals.has(want.offset)) {
      return WantState.Failed
    }
    return state?.pendingOrders.some(({ id }) => id === want.order.id) === true ? WantState.Sent : WantState.Waiting
  }

  refusalOf (want: Want): Failure | undefined {
    return this.refusals.get(want.offset)
  }

  private async work (fence: number): Promise<void> {
    this.isLooking = true
    if (fence !== this.fence) {
      this.takeOver(fence)
    }
    await Promise.all(this.options.servers().map(async server => await this.look(server)))
    for (const want of this.options.wants.all()) {
      await this.correct(want)
    }
    this.isLooking = false
  }

  /** Nothing is known of what the predecessor sent last. */
  private takeOver (fence: number): void {
    this.fence = fence
    this.states.clear()
    this.loading.clear()
    const until = this.options.clock.now() + LONGEST_LOAD_MS
    this.options.servers().forEach(server => this.loading.set(server, until))
  }

  private async look (server: string): Promise<void> {
    const seen = await this.options.port.state(server)
    seen.caseOf({
      Left: () => { this.states.delete(server) },
      Right: state => {
        this.states.set(server, state)
        if (!state.pendingOrders.some(isLoad)) {
          this.loading.delete(server)
        } else if (!this.loading.has(server)) {
          this.loading.set(server, this.options.clock.now() + LONGEST_LOAD_MS)
        }
      }
    })
  }

  private loadsAtOnce (): number {
    const now = this.options.clock.now()
    for (const [server, until] of this.loading) {
      if (until <= now) {
        this.loading.delete(server)
      }
    }
    return this.loading.size
  }

  private async correct (want: Want): Promise<void> {
    const { clock, holder, port } = this.options
    const state = this.states.get(want.server)
    // One order at a time for each server: what it says of itself must be fresh.
    if (!state || state.pendingOrders.length > 0 || isObserved(state, want.order)) {
      return
    }
    if (isLoad(want.order) && (this.loading.has(want.server) || this.loadsAtOnce() >= LOADS_AT_ONCE)) {
      return
    }
    if (isLoad(want.order)) {
      this.loading.set(want.server, clock.now() + LONGEST_LOAD_MS)
    }
    const given = await port.give(want.server, want.order, () => holder.check())
    given
      .ifLeft(failure => this.onRefused(want, failure))
      .ifRight(() => this.refusals.delete(want.offset))
    // Looked at again before anything else is asked of it.
    this.states.delete(want.server)
  }
}
