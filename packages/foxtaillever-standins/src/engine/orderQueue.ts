/**
 * Queue of the orders to a stand-in engine, carried out one after the other. Its
 * options decide whether it checks the fencing number and the caller. An order
 * waits until the running streams have finished; meanwhile the engine refuses new
 * requests without running them.
 */
import {
  Failure, FailureCode, OrderKind,
  type Clock, type EngineOrder
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { WeightStore } from '../platform/weightStoreModel.js'

/** An order with its sender and fencing number. */
export interface OrderCall {
  readonly order: EngineOrder
  /** Log offset of the lease that the order was sent under; 0 for none. */
  readonly fence: number
  readonly caller: string
}

export interface OrderQueueOptions {
  readonly checksFencing: boolean
  /** Undefined if callers are not checked. */
  readonly trustedCallers: readonly string[] | undefined
}

/** How long an adapter takes to load, milliseconds; much less than weights. */
const ADAPTER_LOAD_MS = 50

/** Maximum number of ids of done orders in the engine's state. */
const MAX_DONE_IDS = 16

export class OrderQueue {
  private pending: EngineOrder[] = []
  private done: string[] = []
  private fence = 0
  private isRunning = false
  private epoch = 0
  /** Every order received, accepted or not, in order of arrival; for test oracles. */
  readonly received: OrderCall[] = []

  private constructor (
    private readonly options: OrderQueueOptions,
    private readonly clock: Clock,
    private readonly weights: WeightStore,
    private readonly apply: (order: EngineOrder) => void
  ) {}

  static create (options: OrderQueueOptions, clock: Clock, weights: WeightStore, apply: (order: EngineOrder) => void): OrderQueue {
    return new OrderQueue(options, clock, weights, apply)
  }

  acceptOrder (call: OrderCall): Either<Failure, void> {
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

  /** Carries out the next order; called when no stream is running or waiting. */
  runNext (): void {
    const order = this.pending[0]
    if (this.isRunning || !order) {
      return
    }
    this.isRunning = true
    const epoch = this.epoch
    this.load(order, () => {
      if (epoch === this.epoch) {
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
    this.isRunning = false
    this.pending = this.pending.filter(other => other !== order)
    this.done = [...this.done, order.id].slice(-MAX_DONE_IDS)
    this.apply(order)
    this.runNext()
  }

  /** Drops pending orders and the fencing number, as a crash does. */
  reset (): void {
    this.pending = []
    this.isRunning = false
    this.fence = 0
    this.epoch += 1
  }
}
