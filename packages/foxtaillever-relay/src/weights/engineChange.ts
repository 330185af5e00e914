/**
 * One engine on its way to new weights, as the one who gives orders sees it:
 * steered, then ordered, until a report shows the weights. An order is a wanted
 * state: whether it was lost, refused or comes late, the engine's reports decide
 * what is done next, and an order names the sequence of the report before it,
 * so that one that comes late does nothing.
 */
import type { Clock } from 'foxtaillever-core'
import { MIN_STEERED_MS, RolloutPhase } from 'foxtaillever-policy/relay/planRollout'
import type { KnownServer } from '../servers/knownServer.js'
import { reachableFrom } from '../servers/serverOpening.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { OrderAnswer, type EngineOrders, type EngineReport } from './engineOrders.js'

/** Reports are that old, milliseconds: what one says of work counts only when it was asked that long after the steering. */
const REPORT_AGE_MS = 200

/** Between two looks at an engine that is steered, milliseconds. */
const STEERED_LOOK_MS = 250

/** Weights load in 420 and reports are late: no look earlier than this after an order, milliseconds. */
const FIRST_WATCH_MS = 500

/** Between two looks at an engine that loads, milliseconds. */
const WATCH_MS = 100

/** Looks in a row at an idle engine without the weights, after which the order counts as lost. */
const IDLE_LOOKS = 4

/** The same where no answer came: what was carried out shows by now, and the engine stands idle. */
const UNANSWERED_IDLE_LOOKS = 2

/** An order that has not shown in the reports by then counts as lost, milliseconds. */
const LONGEST_CHANGE_MS = 4000

/** Reports in a row that do not come from an engine that is likely down. */
const UNHEARD_REPORTS = 2

/** Before an engine that refused an order or did not report is asked again, milliseconds. */
const AGAIN_MS = 300

export interface EngineChangeOptions {
  readonly clock: Clock
  readonly engine: KnownServer
  readonly model: string
  readonly holder: string
  readonly orders: EngineOrders
  readonly log: RelayLog
  /** The engine reported these weights. */
  readonly onWeights: (version: number) => void
  /** Whether the engine that started then is the one steered; one that started again since is another. */
  readonly isSameStart: (startedAt: number) => boolean
  /** Another holder gave orders with a higher fencing number. */
  readonly onFenced: () => void
  /** Another server has the engine's address. */
  readonly onDisplaced: () => void
}

/** Whether an engine comes into question for new weights; others go before one that does not answer or wants rest. */
export function canBeChanged (engine: KnownServer, change: EngineChange | undefined, now: number): boolean {
  const isResting = reachableFrom(engine) > now
  return change?.isUnheard !== true && (!isResting || change?.phase === RolloutPhase.Ordered)
}

export interface OrderTerms {
  readonly version: number
  readonly fence: number
}

export class EngineChange {
  readonly steeredAt: number
  private report: EngineReport | undefined
  /** Of the report in hand, milliseconds of Unix time. */
  private reportAskedAt = 0
  /** When the order left, milliseconds of Unix time; undefined without one. */
  orderedAt: number | undefined
  private orderedVersion = Infinity
  private idleLooks = 0
  private wasAccepted = false
  private lookAt: number
  private isCalling = false
  /** Reports in a row that did not come. */
  private unheard = 0

  private constructor (private readonly options: EngineChangeOptions) {
    this.steeredAt = options.clock.now()
    this.lookAt = this.steeredAt
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

  /** It does not answer, as one that crashed: waiting for it, others could be changed. */
  get isUnheard (): boolean {
    return this.unheard >= UNHEARD_REPORTS
  }

  /** Requests that the engine has, by a report made after the steering; undefined without one. */
  get running (): number | undefined {
    return this.reportAskedAt >= this.steeredAt + REPORT_AGE_MS ? this.report?.running : undefined
  }

  /** Whether the engine has what it was ordered to have. */
  hasCarriedOut (version: number): boolean {
    return version >= this.orderedVersion
  }

  /** Asks for a report when one is due. */
  async look (): Promise<void> {
    const { clock, orders, engine, model, onWeights, isSameStart } = this.options
    const askedAt = clock.now()
    if (this.isCalling || askedAt < this.lookAt || reachableFrom(engine) > askedAt) {
      return
    }
    this.isCalling = true
    const answer = await orders.report(engine)
    this.isCalling = false
    this.lookAt = clock.now() + AGAIN_MS
    this.unheard = answer.isLeft() ? this.unheard + 1 : 0
    answer.ifRight(report => {
      if (!isSameStart(report.startedAt ?? engine.listed.startedAt)) {
        return
      }
      this.takeReport(report, askedAt)
      onWeights(report.weights.get(model) ?? 0)
    })
  }

  /** Gives the order if a report tells its sequence. */
  async order ({ version, fence }: OrderTerms): Promise<void> {
    const { clock, orders, engine, model, holder, log, onFenced, onDisplaced } = this.options
    if (this.isCalling || this.report === undefined || reachableFrom(engine) > clock.now()) {
      return
    }
    this.isCalling = true
    this.orderedAt = clock.now()
    this.orderedVersion = version
    this.idleLooks = 0
    const expectedSequence = this.report.sequence
    const answer = await orders.order(engine, { model, version, holder, fence, expectedSequence })
    this.isCalling = false
    const outcome = answer.orDefault(OrderAnswer.Unknown)
    const subject = { server: engine.listed.id, model, version, fence, sequence: expectedSequence, running: this.report.running, outcome, failure: answer.swap().map(({ message }) => message).orDefault('') }
    log.belief('Ordered new weights.', subject)
    this.takeAnswer(outcome)
    if (outcome === OrderAnswer.Fenced) {
      onFenced()
    } else if (outcome === OrderAnswer.Displaced) {
      onDisplaced()
    }
  }

  private takeAnswer (outcome: OrderAnswer): void {
    const now = this.options.clock.now()
    this.wasAccepted = outcome === OrderAnswer.Accepted
    if (this.wasAccepted || outcome === OrderAnswer.Unknown) {
      this.lookAt = this.wasAccepted ? now + FIRST_WATCH_MS : now
      return
    }
    this.orderedAt = undefined
    this.report = undefined
    this.lookAt = now + AGAIN_MS
  }

  private takeReport (report: EngineReport, askedAt: number): void {
    const { clock } = this.options
    const now = clock.now()
    this.report = report
    this.reportAskedAt = askedAt
    if (this.orderedAt === undefined) {
      this.lookAt = askedAt + (askedAt < this.steeredAt + MIN_STEERED_MS ? MIN_STEERED_MS : STEERED_LOOK_MS)
      return
    }
    this.lookAt = now + WATCH_MS
    this.idleLooks = report.isBusy ? 0 : this.idleLooks + 1
    if (this.idleLooks >= (this.wasAccepted ? IDLE_LOOKS : UNANSWERED_IDLE_LOOKS) || now >= this.orderedAt + LONGEST_CHANGE_MS) {
      this.orderedAt = undefined
    }
  }
}
