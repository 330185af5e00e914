/**
 * The change of one engine to new weights, as the instance that gives orders
 * tracks it. The engine is steered first, which means that it gets no new work, and
 * then ordered, until a report shows the weights. An order states a wanted state:
 * whether it was lost, refused or delayed, the engine's reports decide the next step.
 * An order names the sequence of the last report, so that a late order has no effect.
 */
import type { Clock } from 'foxtaillever-core'
import { MIN_STEERED_MS, RolloutPhase } from 'foxtaillever-policy/relay/planRollout'
import type { KnownServer } from '../servers/knownServer.js'
import { reachableFrom } from '../servers/serverAvailability.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { OrderAnswer, type EngineOrders, type EngineReport } from './engineOrders.js'

/** Age of a report's contents, milliseconds: its number of running requests is used only if the report was requested at least this long after the steering. */
const REPORT_AGE_MS = 200

/** Interval between two polls of a steered engine, milliseconds. */
const STEERED_CHECK_INTERVAL_MS = 250

/** Delay between an order and the first poll, milliseconds: weights load in 420, and reports are late. */
const FIRST_CHECK_DELAY_MS = 500

/** Interval between two polls of an engine that loads weights, milliseconds. */
const LOADING_CHECK_INTERVAL_MS = 100

/** The order counts as lost after this many consecutive reports of an idle engine without the weights. */
const MAX_IDLE_CHECKS = 4

/** The same if the order got no answer: an order that was carried out shows by then, and the engine is idle meanwhile. */
const MAX_UNANSWERED_IDLE_CHECKS = 2

/** An order whose weights are not reported within this time counts as lost, milliseconds. */
const MAX_CHANGE_MS = 4000

/** An engine that misses this many reports in a row is likely down. */
const MAX_MISSED_REPORTS = 2

/** Delay before another request to an engine that refused an order or did not report, milliseconds. */
const RETRY_MS = 300

export interface EngineChangeOptions {
  readonly clock: Clock
  readonly engine: KnownServer
  readonly model: string
  readonly holder: string
  readonly orders: EngineOrders
  readonly log: RelayLog
  /** The engine reported these weights. */
  readonly onWeights: (version: number) => void
  /** Whether the engine that started at that time is the incarnation that was steered. */
  readonly isSameIncarnation: (startedAt: number) => boolean
  /** The engine has seen a higher fencing number, of another holder. */
  readonly onFenced: () => void
  /** Another server has the engine's address. */
  readonly onDisplaced: () => void
}

/** Whether an engine can get new weights now. An engine that does not respond or is backing off waits; others go first. */
export function canBeChanged (engine: KnownServer, change: EngineChange | undefined, now: number): boolean {
  const isBackingOff = reachableFrom(engine) > now
  return change?.isUnresponsive !== true && (!isBackingOff || change?.phase === RolloutPhase.Ordered)
}

export interface OrderTerms {
  readonly version: number
  readonly fence: number
}

export class EngineChange {
  readonly steeredAt: number
  private report: EngineReport | undefined
  /** When the current report was requested, milliseconds of Unix time. */
  private reportRequestedAt = 0
  /** When the order was sent, milliseconds of Unix time; undefined without an order. */
  orderedAt: number | undefined
  private orderedVersion = Infinity
  private idleChecks = 0
  private wasAccepted = false
  private nextPollAt: number
  private isCalling = false
  /** Consecutive reports that did not arrive. */
  private missedReports = 0

  private constructor (private readonly options: EngineChangeOptions) {
    this.steeredAt = options.clock.now()
    this.nextPollAt = this.steeredAt
  }

  static create (options: EngineChangeOptions): EngineChange {
    return new EngineChange(options)
  }

  get engine (): KnownServer {
    return this.options.engine
  }

  get phase (): RolloutPhase {
    return this.orderedAt !== undefined || this.report?.isBusy === true ? RolloutPhase.Ordered : RolloutPhase.Steered
  }

  /** The engine does not answer and may have crashed; others can be changed meanwhile. */
  get isUnresponsive (): boolean {
    return this.missedReports >= MAX_MISSED_REPORTS
  }

  /** Requests at the engine by a report made after the steering; undefined without such a report. */
  get running (): number | undefined {
    return this.reportRequestedAt >= this.steeredAt + REPORT_AGE_MS ? this.report?.running : undefined
  }

  /** Whether the version is the ordered one or newer. */
  hasCarriedOut (version: number): boolean {
    return version >= this.orderedVersion
  }

  /** Requests a report if one is due. */
  async pollReport (): Promise<void> {
    const { clock, orders, engine, model, onWeights, isSameIncarnation } = this.options
    const requestedAt = clock.now()
    if (this.isCalling || requestedAt < this.nextPollAt || reachableFrom(engine) > requestedAt) {
      return
    }
    this.isCalling = true
    const answer = await orders.report(engine).finally(() => { this.isCalling = false })
    this.nextPollAt = clock.now() + RETRY_MS
    this.missedReports = answer.isLeft() ? this.missedReports + 1 : 0
    answer.ifRight(report => {
      if (!isSameIncarnation(report.startedAt ?? engine.listed.startedAt)) {
        return
      }
      this.applyReport(report, requestedAt)
      onWeights(report.weights.get(model) ?? 0)
    })
  }

  /** Sends the order if a report has given the sequence. */
  async sendOrder ({ version, fence }: OrderTerms): Promise<void> {
    const { clock, orders, engine, model, holder, log, onFenced, onDisplaced } = this.options
    if (this.isCalling || this.report === undefined || reachableFrom(engine) > clock.now()) {
      return
    }
    this.isCalling = true
    this.orderedAt = clock.now()
    this.orderedVersion = version
    this.idleChecks = 0
    const expectedSequence = this.report.sequence
    const answer = await orders.order(engine, { model, version, holder, fence, expectedSequence }).finally(() => { this.isCalling = false })
    const outcome = answer.orDefault(OrderAnswer.Unknown)
    const subject = { server: engine.listed.id, model, version, fence, sequence: expectedSequence, running: this.report.running, outcome, failure: answer.swap().map(({ message }) => message).orDefault('') }
    log.belief('Ordered new weights.', subject)
    this.applyOutcome(outcome)
    if (outcome === OrderAnswer.Fenced) {
      onFenced()
    } else if (outcome === OrderAnswer.Displaced) {
      onDisplaced()
    }
  }

  private applyOutcome (outcome: OrderAnswer): void {
    const now = this.options.clock.now()
    this.wasAccepted = outcome === OrderAnswer.Accepted
    if (this.wasAccepted || outcome === OrderAnswer.Unknown) {
      this.nextPollAt = this.wasAccepted ? now + FIRST_CHECK_DELAY_MS : now
      return
    }
    this.orderedAt = undefined
    this.report = undefined
    this.nextPollAt = now + RETRY_MS
  }

  private applyReport (report: EngineReport, requestedAt: number): void {
    const { clock } = this.options
    const now = clock.now()
    this.report = report
    this.reportRequestedAt = requestedAt
    if (this.orderedAt === undefined) {
      this.nextPollAt = requestedAt + (requestedAt < this.steeredAt + MIN_STEERED_MS ? MIN_STEERED_MS : STEERED_CHECK_INTERVAL_MS)
      return
    }
    this.nextPollAt = now + LOADING_CHECK_INTERVAL_MS
    this.idleChecks = report.isBusy ? 0 : this.idleChecks + 1
    if (this.idleChecks >= (this.wasAccepted ? MAX_IDLE_CHECKS : MAX_UNANSWERED_IDLE_CHECKS) || now >= this.orderedAt + MAX_CHANGE_MS) {
      this.orderedAt = undefined
    }
  }
}
