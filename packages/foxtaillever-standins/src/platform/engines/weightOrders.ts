/** Handles orders for new weights at a stand-in engine. Orders are numbered and fenced. */
import type { Clock } from 'foxtaillever-core'

export interface WeightOrderBody {
  readonly op?: string
  readonly model?: string
  readonly version?: number
  readonly swap_mode?: string
  readonly holder?: string
  readonly fence?: number
  readonly expect?: number
}

/** An accepted order, for oracles. */
export interface AcceptedOrder {
  readonly holder: string
  readonly fence: number
  readonly model: string
  readonly version: number
  readonly at: number
}

/** Swap mode in which runs continue under the new weights; in other modes the load waits until no run is left. */
const RETAIN = 'retain'

/** Time between two checks whether all runs have ended, milliseconds. */
const CHECK_INTERVAL_MS = 5

export interface WeightOrdersOptions {
  readonly clock: Clock
  readonly loadMs: number
  /** Whether the operators have named this version. */
  readonly isNamed: (model: string, version: number) => boolean
  /** Whether no request runs or waits. */
  readonly isIdle: () => boolean
  /** Whether the engine pauses; it loads nothing then. */
  readonly isPaused: () => boolean
  readonly onLoaded: (model: string) => void
}

export class WeightOrders {
  readonly versions = new Map<string, number>()
  readonly accepted: AcceptedOrder[] = []
  sequence = 0
  isBusy = false
  private fence = 0

  private constructor (private readonly options: WeightOrdersOptions) {}

  static create (options: WeightOrdersOptions): WeightOrders {
    return new WeightOrders(options)
  }

  /** Handles an order; returns the status of the answer. */
  handleOrder ({ op, model = '', version = 0, swap_mode: swapMode, holder, fence, expect }: WeightOrderBody): number {
    if (op !== 'version' || holder === undefined || fence === undefined || !this.options.isNamed(model, version)) {
      return 400
    }
    if (fence < this.fence) {
      return 412
    }
    this.fence = fence
    if (this.isBusy || (expect !== undefined && expect !== this.sequence)) {
      return 409
    }
    if (this.versions.get(model) === version) {
      return 200
    }
    this.sequence += 1
    this.isBusy = true
    this.accepted.push({ holder, fence, model, version, at: this.options.clock.now() })
    this.loadWhenAllowed(swapMode === RETAIN ? () => true : this.options.isIdle, model, version)
    return 202
  }

  /** Clears orders and fences, as a restart does. */
  reset (): void {
    this.sequence = 0
    this.fence = 0
    this.isBusy = false
  }

  private loadWhenAllowed (mayLoad: () => boolean, model: string, version: number): void {
    const { clock, loadMs, isPaused } = this.options
    if (isPaused() || !mayLoad()) {
      clock.at(clock.now() + CHECK_INTERVAL_MS, () => this.loadWhenAllowed(mayLoad, model, version))
      return
    }
    clock.at(clock.now() + loadMs, () => {
      this.versions.set(model, version)
      this.isBusy = false
      this.options.onLoaded(model)
    })
  }
}
