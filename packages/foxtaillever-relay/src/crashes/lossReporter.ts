/** Reports the requests of this instance that were in flight when a server ended to the instances that decide what caused it. */
import type { Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import type { LostRequest } from 'foxtaillever-policy/crashes/suspicion'
import { DatagramKind } from '../peers/datagram.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { AnswerCounter } from './answerCounter.js'
import type { CrashMessage } from './crashMessage.js'
import type { RequestCauses } from './lostRequests.js'
import { Repeater } from './repeater.js'

/** A crash cuts all connections of an instance within this time; they are reported together, milliseconds. */
const REPORT_DELAY_MS = 10

/** Lost requests in one datagram, some 50 bytes each. */
const MAX_REPORTED = 20

/** An incarnation that answers this soon after its connections broke has not crashed, milliseconds: a server that crashed is back later, maybe under the same id. */
const ALIVE_WITHIN_MS = 1000

/** Requests and servers whose losses are remembered. */
const MAX_REMEMBERED = 1024

/** An answer that has gone on for this long proves that its request did not cause a crash, milliseconds: servers crash as they begin to answer. */
export const PROVEN_AFTER_MS = 500

/** A lost request of this instance. */
export interface Loss {
  readonly service: string
  /** Hash of the server's incarnation. */
  readonly server: number
  /** When the attempt began, milliseconds of Unix time. */
  readonly sentAt: number
  /** When its connection broke. */
  readonly lostAt: number
  /** When the head of the answer arrived; undefined if it did not. */
  readonly answeredAt: number | undefined
}

export interface LossReporterOptions {
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'crashReported'>
  readonly address: () => string
  readonly sendToDeciders: (message: CrashMessage) => void
}

interface ReportedServer {
  readonly service: string
  /** Milliseconds of Unix time; Infinity once it has answered. */
  readonly crashedAt: number
}

interface UnsentReport extends Loss {
  readonly lost: LostRequest[]
}

export class LossReporter {
  /** Reports that wait for further losses, by the hash of the server. */
  private readonly unsent = new Map<number, UnsentReport>()
  /** By the hash of the server. */
  private readonly reported = RecentMap.create<ReportedServer>(MAX_REMEMBERED)
  /** How often requests were lost here, by their digest. */
  private readonly losses = RecentMap.create<number>(MAX_REMEMBERED)
  /** By service. */
  private readonly answers = new Map<string, AnswerCounter>()
  private readonly repeater: Repeater
  private isStopped = false

  private constructor (private readonly options: LossReporterOptions) {
    this.repeater = Repeater.create(options.clock)
  }

  static create (options: LossReporterOptions): LossReporter {
    return new LossReporter(options)
  }

  /** How often the request, given by its digest, was lost here with its server. */
  lossesOf (request: string): number {
    return this.losses.peek(request) ?? 0
  }

  countAnswer (service: string): void {
    this.answersOf(service).count(this.options.clock.now())
  }

  /** @param isTrial whether the request tried its suspected levels. */
  recordLoss ({ request, account, levels }: RequestCauses, loss: Loss, isTrial: boolean): void {
    const { clock } = this.options
    const { server, service, sentAt, lostAt, answeredAt } = loss
    const mayBeCause = answeredAt === undefined || lostAt < answeredAt + PROVEN_AFTER_MS
    this.losses.set(request, this.lossesOf(request) + 1)
    this.reported.set(String(server), { service, crashedAt: lostAt })
    const unsent = this.unsent.get(server) ?? { ...loss, lost: [] }
    unsent.lost.push({ request, account, levels: mayBeCause ? levels : [], sentAt, isTrial })
    if (unsent.lost.length === 1) {
      this.unsent.set(server, unsent)
      clock.at(clock.now() + REPORT_DELAY_MS, () => this.report(server))
    }
  }

  /**
   * Records that a server answered what was sent at the given time, milliseconds of Unix
   * time: it had not crashed, whatever its broken connections looked like.
   */
  recordAlive (server: number, sentAt: number): void {
    const known = this.reported.size > 0 ? this.reported.peek(String(server)) : undefined
    if (known && known.crashedAt < sentAt && sentAt < known.crashedAt + ALIVE_WITHIN_MS) {
      const { service } = known
      const { address, sendToDeciders } = this.options
      this.reported.set(String(server), { service, crashedAt: Infinity })
      this.repeater.repeat(() => sendToDeciders({ kind: DatagramKind.CrashRetraction, address: address(), service, server }))
    }
  }

  stop (): void {
    this.isStopped = true
    this.repeater.stop()
  }

  private report (server: number): void {
    const { clock, address, log, sendToDeciders } = this.options
    const unsent = this.unsent.get(server)
    this.unsent.delete(server)
    if (!unsent || this.isStopped || this.reported.peek(String(server))?.crashedAt === Infinity) {
      return
    }
    const { service, lostAt, lost } = unsent
    const answers = this.answersOf(service).recent(clock.now())
    log.crashReported(service, server, lost.length)
    for (let from = 0; from < lost.length; from += MAX_REPORTED) {
      const part = lost.slice(from, from + MAX_REPORTED)
      this.repeater.repeat(() => {
        const now = clock.now()
        sendToDeciders({ kind: DatagramKind.CrashReport, address: address(), service, server, ageMs: now - lostAt, answers, lost: part.map(({ sentAt, ...request }) => ({ ...request, sentAgeMs: now - sentAt })) })
      })
    }
  }

  private answersOf (service: string): AnswerCounter {
    const answers = this.answers.get(service) ?? AnswerCounter.create()
    this.answers.set(service, answers)
    return answers
  }
}
