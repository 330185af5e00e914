/**
 * Takes orders to a stand-in engine one after the other. By its settings it
 * checks the fencing number and the caller, or neither. An order waits until
 * what runs has finished; meanwhile new work is refused, not run.
 */
import {
  Failure, FailureCode, OrderKind,
  type Clock, type EngineOrder
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { WeightStore } from '../platform/weightStoreModel.js'

/** An order as it arrives. */
export interface OrderCall {
  readonly order: EngineOrder
  /** Log offset of the lease it was given under; 0 for none. */
  readonly fence: number
  readonly caller: string
}

export interface OrderDeskOptions {
  readonly checksFencing: boolean
  /** Undefined when no one is checked. */
  readonly trustedCallers: readonly string[] | undefined
}

/** How long an adapter takes to load, milliseconds; small against weights. */
const ADAPTER_LOAD_MS = 50

/** Ids of done orders shown in the engine's state. */
const DONE_KEPT = 16

export class OrderDesk {
  private pending: EngineOrder[] = []
  private done: string[] = []
  private fence = 0
  private busy = false
  private round = 0
  /** Every order that arrived, in order, for oracles. */
  readonly received: OrderCall[] = []

  private constructor (
    private readonly options: OrderDeskOptions,
    private readonly clock: Clock,
    private readonly weights: WeightStore,
    private readonly apply: (order: EngineOrder) => void
  ) {}

  static create (options: OrderDeskOptions, clock: Clock, weights: WeightStore, apply: (order: EngineOrder) => void): OrderDesk {
    return new OrderDesk(options, clock, weights, apply)
  }

  take (call: OrderCall): Either<Failure, void> {
    this.received.push(call)
    if (this.options.trustedCallers && !this.options.trustedCallers.includes(call.caller)) {
      return Left(Failure.notRun(FailureCode.Forbidden, `Caller ${call.caller} may not give orders here.`))
    }
    if (this.options.checksFencing && call.fence < this.fence) {
      return Left(Failure.notRun(FailureCode.Stale, `Fencing number ${call.fence} is below ${this.fence}.`))
    }
    this.fence = Math.max(this.fence, call.fence)
    this.pending.push(call.order)
    return Right(undefined)
  }

  isPending (): boolean {
    return this.pending.length > 0
  }

  pendingOrders (): readonly EngineOrder[] {
    return this.pending
  }

  doneOrders (): readonly string[] {
    return this.done
  }

  highestFence (): number {
    return this.fence
  }

  /** Carries out the next order; called when the engine runs nothing. */
  proceed (): void {
    const order = this.pending[0]
    if (this.busy || !order) {
      return
    }
    this.busy = true
    const round = this.round
    this.load(order, () => {
      if (round === this.round) {
        this.finish(order)
      }
    })
  }

  private load (order: EngineOrder, done: () => void): void {
    const loaders: Record<OrderKind, () => void> = {
      [OrderKind.LoadModel]: () => this.weights.load(done),
      [OrderKind.LoadVersion]: () => this.weights.load(done),
      [OrderKind.LoadAdapter]: () => { this.clock.at(this.clock.now() + ADAPTER_LOAD_MS, done) },
      [OrderKind.ChangeRole]: done
    }
    loaders[order.kind]()
  }

  private finish (order: EngineOrder): void {
    this.busy = false
    this.pending = this.pending.filter(other => other !== order)
    this.done = [...this.done, order.id].slice(-DONE_KEPT)
    this.apply(order)
    this.proceed()
  }

  /** A crash forgets orders that were not carried out, and the fencing number. */
  reset (): void {
    this.pending = []
    this.busy = false
    this.fence = 0
    this.round += 1
  }
}
