/** Fake engines that accept orders as real ones do: fenced and sequenced; some orders get no answer and are carried out seconds later. Reports are late. */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { KnownServer } from '../../servers/knownServer.js'
import { OrderAnswer, type EngineOrders, type EngineReport, type WeightsOrder } from '../engineOrders.js'

const LOAD_MS = 420
const REPORT_AGE_MS = 200
const CALL_MS = 1
const RESPONSE_TIMEOUT_MS = 500
const MIN_LATE_MS = 2000
const MAX_LATE_MS = 12_000
/** Long runs at an engine that has any. */
const LONG_RUN_COUNT = 6

interface FakeEngine {
  /** Milliseconds of Unix time. */
  startedAt: number
  version: number
  sequence: number
  fence: number
  busyUntil: number
  wanted: number
  /** When the last run ends, milliseconds of Unix time. */
  runsUntil: number
}

/** An order that an engine received. */
export interface ReceivedOrder extends WeightsOrder {
  readonly at: number
  readonly engine: string
  readonly wasRunning: boolean
}

export interface FakeEnginesOptions {
  readonly clock: Clock
  readonly random: Random
  readonly model: string
  readonly ids: readonly string[]
  /** Share of the orders that get no answer and are carried out late; may change during a test. */
  lateShare: number
}

function createTimeout (): Failure {
  return Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'no answer in time')
}

export class FakeEngines implements EngineOrders {
  readonly receivedOrders: ReceivedOrder[] = []
  private readonly engines = new Map<string, FakeEngine>()

  private constructor (readonly options: FakeEnginesOptions) {
    options.ids.forEach(id => this.engines.set(id, { startedAt: 1, version: 1, sequence: 0, fence: -1, busyUntil: 0, wanted: 1, runsUntil: 0 }))
  }

  static create (options: FakeEnginesOptions): FakeEngines {
    return new FakeEngines(options)
  }

  get versions (): number[] {
    return [...this.engines.keys()].map(id => this.get(id).version)
  }

  /** Number of engines that are loading weights. */
  get loading (): number {
    return [...this.engines.values()].filter(({ busyUntil }) => busyUntil > this.options.clock.now()).length
  }

  /** Outstanding requests of the fleet at the engine. */
  outstandingAt (id: string): number {
    return this.get(id).runsUntil > this.options.clock.now() ? LONG_RUN_COUNT : 0
  }

  /** Restarts an engine under its id with the weights that it had; sequence and fence are those of a new engine. */
  restart (id: string): FakeEngine {
    const engine = this.get(id)
    const now = this.options.clock.now()
    return Object.assign(engine, { startedAt: now, sequence: 0, fence: -1, busyUntil: 0, wanted: engine.version, runsUntil: 0 })
  }

  run (id: string, until: number): void {
    this.get(id).runsUntil = until
  }

  async report ({ listed }: KnownServer): Promise<Either<Failure, EngineReport>> {
    const { clock, model } = this.options
    const { startedAt, version, busyUntil, sequence, runsUntil } = this.get(listed.id)
    const now = clock.now()
    // Reports describe the state some hundred milliseconds ago.
    const report = { startedAt, weights: new Map([[model, version]]), isBusy: busyUntil > now, sequence, running: runsUntil > now - REPORT_AGE_MS ? LONG_RUN_COUNT : 0 }
    await waitUntil(clock, now + CALL_MS)
    return Right(report)
  }

  async order ({ listed }: KnownServer, order: WeightsOrder): Promise<Either<Failure, OrderAnswer>> {
    const { clock, random, lateShare } = this.options
    this.receivedOrders.push({ ...order, at: clock.now(), engine: listed.id, wasRunning: this.get(listed.id).runsUntil > clock.now() })
    if (random.next() < lateShare) {
      clock.at(clock.now() + MIN_LATE_MS + random.below(MAX_LATE_MS - MIN_LATE_MS), () => { this.carryOut(listed.id, order) })
      await waitUntil(clock, clock.now() + RESPONSE_TIMEOUT_MS)
      return Left(createTimeout())
    }
    await waitUntil(clock, clock.now() + CALL_MS)
    return Right(this.carryOut(listed.id, order))
  }

  private carryOut (id: string, { version, fence, expectedSequence }: WeightsOrder): OrderAnswer {
    const engine = this.get(id)
    const now = this.options.clock.now()
    if (fence < engine.fence) {
      return OrderAnswer.Fenced
    }
    if (expectedSequence !== engine.sequence || engine.busyUntil > now) {
      return OrderAnswer.Conflict
    }
    Object.assign(engine, { fence, sequence: engine.sequence + 1, wanted: version, busyUntil: now + LOAD_MS })
    return OrderAnswer.Accepted
  }

  private get (id: string): FakeEngine {
    const engine = this.engines.get(id)
    if (!engine) {
      throw new Error(`There is no engine ${id}.`)
    }
    if (engine.busyUntil <= this.options.clock.now()) {
      engine.version = engine.wanted
    }
    return engine
  }
}
