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
  /** When connections of this instance to the server began to break, nothing heard from it since. */
  readonly brokenAt: number
  /** When the connection of the request broke. */
  readonly lostAt: number
  /** When the head of the answer arrived; undefined if it did not. */
  readonly answeredAt: number | undefined
  /** Whether the server is known to have ended: since then its address refuses connections. */
  readonly hasEnded: boolean
}

export interface LossReporterOptions {
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'crashReported'>
  readonly address: () => string
  readonly sendToDeciders: (message: CrashMessage) => void
}

interface ReportedServer {
  readonly service: string
  /** When its connections began to break, milliseconds of Unix time; Infinity once it has answered. */
  readonly crashedAt: number
  /** When the last of them broke, milliseconds of Unix time. */
  readonly lostAt: number
}

const noServers: ReadonlySet<number> = new Set()

interface UnsentReport extends Pick<Loss, 'service' | 'brokenAt'> {
  hasEnded: boolean
  readonly lost: LostRequest[]
}

export class LossReporter {
  /** Reports that wait for further losses, by the hash of the server. */
  private readonly unsent = new Map<number, UnsentReport>()
  /** By the hash of the server. */
  private readonly reported = RecentMap.create<ReportedServer>(MAX_REMEMBERED)
  /** Hashes of the servers that crashed with a request of this instance in flight, by the request's digest, since it was last answered. */
  private readonly crashedBy = RecentMap.create<ReadonlySet<number>>(MAX_REMEMBERED)
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

  /** How many servers crashed here with the request, given by its digest, in flight since it was last answered. */
  crashesWith (request: string): number {
    return this.crashesOf(request).size
  }

  /** The request, given by its digest, was answered. */
  recordAnswer (request: string): void {
    if (this.crashesWith(request) > 0) {
      this.crashedBy.set(request, noServers)
    }
  }

  countAnswer (service: string): void {
    this.answersOf(service).count(this.options.clock.now())
  }

  /**
   * A request that was sent after the server's connections began to break did not crash it: it
   * met a server that was down already, or one that resets all connections. Of such requests only
   * the time of the crash is reported, which other instances may not know.
   * @param isTrial whether the request tried its suspected levels.
   */
  recordLoss ({ request, account, levels }: RequestCauses, loss: Loss, isTrial: boolean): void {
    const { server, service, sentAt, brokenAt, lostAt, answeredAt } = loss
    const wasInFlight = sentAt <= brokenAt
    const isReported = this.reported.peek(String(server))?.crashedAt === brokenAt
    this.reported.set(String(server), { service, crashedAt: brokenAt, lostAt })
    if (wasInFlight) {
      const mayBeCause = answeredAt === undefined || lostAt < answeredAt + PROVEN_AFTER_MS
      this.crashedBy.set(request, new Set([...this.crashesOf(request), server]))
      this.reportSoon(loss, [{ request, account, levels: mayBeCause ? levels : [], sentAt, isTrial }])
    } else if (!isReported) {
      this.reportSoon(loss, [])
    }
  }

  /**
   * Records that a server answered what was sent at the given time, milliseconds of Unix
   * time: it had not crashed, whatever its broken connections looked like.
   */
  recordAlive (server: number, sentAt: number): void {
    const known = this.reported.size > 0 ? this.reported.peek(String(server)) : undefined
    if (known && known.crashedAt < sentAt && sentAt < known.lostAt + ALIVE_WITHIN_MS) {
      const { service } = known
      const { address, sendToDeciders } = this.options
      this.reported.set(String(server), { ...known, crashedAt: Infinity })
      this.repeater.repeat(() => sendToDeciders({ kind: DatagramKind.CrashRetraction, address: address(), service, server }))
    }
  }

  stop (): void {
    this.isStopped = true
    this.repeater.stop()
  }

  private reportSoon (loss: Loss, lost: readonly LostRequest[]): void {
    const { clock } = this.options
    const { server, service, brokenAt, hasEnded } = loss
    const unsent = this.unsent.get(server)
    if (unsent) {
      unsent.lost.push(...lost)
      unsent.hasEnded ||= hasEnded
      return
    }
    this.unsent.set(server, { service, brokenAt, hasEnded, lost: [...lost] })
    clock.at(clock.now() + REPORT_DELAY_MS, () => this.report(server))
  }

  private report (server: number): void {
    const { clock, address, log, sendToDeciders } = this.options
    const unsent = this.unsent.get(server)
    this.unsent.delete(server)
    if (!unsent || this.isStopped || this.reported.peek(String(server))?.crashedAt === Infinity) {
      return
    }
    const { service, brokenAt, hasEnded, lost } = unsent
    const answers = this.answersOf(service).recent(clock.now())
    log.crashReported(service, server, lost.length, hasEnded)
    for (let from = 0; from === 0 || from < lost.length; from += MAX_REPORTED) {
      const part = lost.slice(from, from + MAX_REPORTED)
      this.repeater.repeat(() => {
        const now = clock.now()
        sendToDeciders({ kind: DatagramKind.CrashReport, address: address(), service, server, hasEnded, ageMs: now - brokenAt, answers, lost: part.map(({ sentAt, ...request }) => ({ ...request, sentAgeMs: now - sentAt })) })
      })
    }
  }

  private crashesOf (request: string): ReadonlySet<number> {
    return this.crashedBy.peek(request) ?? noServers
  }

  private answersOf (service: string): AnswerCounter {
    const answers = this.answers.get(service) ?? AnswerCounter.create()
    this.answers.set(service, answers)
    return answers
  }
}
