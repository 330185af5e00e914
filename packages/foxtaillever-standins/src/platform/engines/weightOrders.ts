/** Orders for new weights at a stand-in engine: numbered, fenced, carried out after what runs. */
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

/** An order that was taken, for oracles. */
export interface TakenOrder {
  readonly holder: string
  readonly fence: number
  readonly model: string
  readonly version: number
  readonly at: number
}

/** Runs go on under the new weights. */
const RETAIN = 'retain'

/** How long an order waits between two looks whether all has ended, milliseconds. */
const LOOK_MS = 5

export interface WeightOrdersOptions {
  readonly clock: Clock
  readonly loadMs: number
  /** Whether the operators have named this version. */
  readonly isNamed: (model: string, version: number) => boolean
  /** Whether a request still runs. */
  readonly isIdle: () => boolean
  readonly onLoaded: (model: string) => void
}

export class WeightOrders {
  readonly versions = new Map<string, number>()
  readonly taken: TakenOrder[] = []
  sequence = 0
  isBusy = false
  private fence = 0

  private constructor (private readonly options: WeightOrdersOptions) {}

  static create (options: WeightOrdersOptions): WeightOrders {
    return new WeightOrders(options)
  }

  /** Returns the status of the answer. */
  take ({ op, model = '', version = 0, swap_mode: swapMode, holder, fence, expect }: WeightOrderBody): number {
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
    this.taken.push({ holder, fence, model, version, at: this.options.clock.now() })
    this.loadWhen(swapMode === RETAIN ? () => true : this.options.isIdle, model, version)
    return 202
  }

  /** A restart forgets orders and fences. */
  reset (): void {
    this.sequence = 0
    this.fence = 0
    this.isBusy = false
  }

  private loadWhen (mayLoad: () => boolean, model: string, version: number): void {
    const { clock, loadMs } = this.options
    if (!mayLoad()) {
      clock.at(clock.now() + LOOK_MS, () => this.loadWhen(mayLoad, model, version))
      return
    }
    clock.at(clock.now() + loadMs, () => {
      this.versions.set(model, version)
      this.isBusy = false
      this.options.onLoaded(model)
    })
  }
}
