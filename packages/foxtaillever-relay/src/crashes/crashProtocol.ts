/**
 * Finds out, together with the other instances, which level of prompts or which request
 * crashes backend servers, and refuses it everywhere.
 *
 * Each instance reports its requests that were in flight at a crash to a few instances,
 * computed from the service, that decide. These announce which levels are suspected, so
 * that every instance reports when one is answered, and they let one request at a time
 * try a suspected level. What is proven is announced, repeated with the heartbeats and
 * written to the platform's store.
 */
import { type Cancellation, type Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { CauseKind, CrashEvidence, type LostRequest } from 'foxtaillever-policy/crashes/crashEvidence'
import { QuarantineTable, type Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { DatagramKind } from '../peers/datagram.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { AnswerCounter } from './answerCounter.js'
import type { AnsweredNotice, CrashMessage, CrashReport, QuarantineUpdate } from './crashMessage.js'
import { LevelTrials } from './levelTrials.js'
import type { RequestCauses } from './lostRequests.js'
import { SuspectedLevels } from './suspectedLevels.js'
import { TrialClient } from './trialClient.js'

/** A crash cuts all connections of an instance within this time; they are reported together, milliseconds. */
const REPORT_DELAY_MS = 10

/** Lost requests in one datagram, some 50 bytes each. */
const MAX_REPORTED = 20

/** Each message is sent this often, milliseconds apart: where three in ten datagrams are lost, three in a hundred do not arrive. */
const SENDS = 3
const RESEND_MS = 50

/** Reports of one crash by several instances arrive within this time, milliseconds. */
const SETTLE_MS = 30

/** Crashes of trials are evaluated within this time, milliseconds. */
const TRIED_WITHIN_MS = 500

/** An answer that has gone on for this long proves that its request did not cause the crash, milliseconds: servers crash as they begin to answer. */
export const PROVEN_AFTER_MS = 500

/** An incarnation that answers this soon after its connections broke has not crashed, milliseconds: a server that crashed is back later, maybe under the same id. */
const ALIVE_WITHIN_MS = 1000

/** How often a request may be lost with its server before it is not retried within the same answer. */
const MAX_LOSSES = 1

/** Requests and servers whose losses are remembered. */
const MAX_REMEMBERED = 1024

/** Quarantines in a heartbeat, 40 to 80 bytes each. */
const MAX_IN_HEARTBEAT = 12

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

export interface CrashProtocolOptions {
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'quarantineChanged' | 'crashReported' | 'levelSuspected' | 'trialDecided'>
  readonly address: () => string
  /** Addresses of the instances that decide for a service, in order. */
  readonly decidersOf: (service: string) => readonly string[]
  /** Listed servers of a service; at least 1. */
  readonly serverCount: (service: string) => number
  readonly send: (address: string, message: CrashMessage) => void
  /** Sends to all other instances. */
  readonly sendToAll: (message: CrashMessage) => void
  /** A cause was quarantined, or a quarantine has changed. */
  readonly onQuarantine: (quarantine: Quarantine) => void
  /** This instance has decided on a quarantine, which must outlive the fleet. */
  readonly onDecided: (quarantine: Quarantine) => void
}

/** For services whose requests are not suspected of crashing servers. */
export const noCrashes: Pick<CrashProtocol, 'findQuarantine' | 'recordRefusal' | 'claimTrial' | 'mayRetry' | 'recordLoss' | 'recordAnswer' | 'recordProgress'> = {
  findQuarantine: () => undefined,
  recordRefusal: () => {},
  claimTrial: (_causes, _service, onDecided) => onDecided(true),
  mayRetry: () => true,
  recordLoss: () => {},
  recordAnswer: () => {},
  recordProgress: () => {}
}

interface ReportedServer {
  readonly service: string
  /** Milliseconds of Unix time. */
  readonly crashedAt: number
}

export class CrashProtocol {
  readonly quarantines = QuarantineTable.create()
  private readonly evidence = new Map<string, CrashEvidence>()
  private readonly suspected = SuspectedLevels.create()
  private readonly trials = LevelTrials.create()
  /** Requests of this instance whose suspected levels are tried. */
  private readonly tried = new WeakSet<RequestCauses>()
  private readonly trialClient: TrialClient
  /** Reports that wait for further losses, by the hash of the server. */
  private readonly unsent = new Map<number, Loss & { readonly lost: LostRequest[] }>()
  /** Servers that this instance reported to have crashed, by their hash. */
  private readonly reported = RecentMap.create<ReportedServer>(MAX_REMEMBERED)
  /** How often requests were lost here, by their digest. */
  private readonly losses = RecentMap.create<number>(MAX_REMEMBERED)
  /** Answers, by service. */
  private readonly answers = new Map<string, AnswerCounter>()
  private readonly dueEvaluations = new Map<string, Cancellation>()
  private readonly resends = new Set<Cancellation>()
  private isStopped = false

  private constructor (private readonly options: CrashProtocolOptions) {
    const { clock, address, decidersOf } = options
    this.trialClient = TrialClient.create({ clock, address, decidersOf, send: (to, message) => this.sendTo(to, message) })
  }

  static create (options: CrashProtocolOptions): CrashProtocol {
    return new CrashProtocol(options)
  }

  /** The quarantine because of which a request is refused. */
  findQuarantine ({ request, account, levels }: RequestCauses): Quarantine | undefined {
    if (this.quarantines.isEmpty) {
      return undefined
    }
    const now = this.options.clock.now()
    return this.quarantines.findFor(CauseKind.Request, request, account, now) ??
      levels.map(level => this.quarantines.findFor(CauseKind.Level, level, account, now)).find(quarantine => quarantine !== undefined)
  }

  /** Records that a request was refused because of the quarantine, which lasts as long as such requests come. */
  recordRefusal (quarantine: Quarantine): void {
    const renewed = this.quarantines.renew(quarantine, this.options.clock.now())
    if (renewed) {
      this.announce(renewed)
      this.options.onDecided(renewed)
    }
  }

  /** Calls back with whether a request may be sent now; one with suspected levels needs a trial. */
  claimTrial (causes: RequestCauses, service: string, onDecided: (isGranted: boolean) => void): void {
    const { clock, log } = this.options
    const suspected = this.suspected.among(causes.levels, clock.now())
    if (suspected.length === 0) {
      onDecided(true)
      return
    }
    this.trialClient.ask(service, suspected, isGranted => {
      log.trialDecided(suspected, isGranted)
      if (isGranted) {
        this.tried.add(causes)
      }
      onDecided(isGranted)
    })
  }

  /** Whether a lost request may be sent again within the same answer. */
  mayRetry (causes: RequestCauses): boolean {
    return (this.losses.peek(causes.request) ?? 0) <= MAX_LOSSES && !this.suspected.isAny(causes.levels, this.options.clock.now()) && this.findQuarantine(causes) === undefined
  }

  /** Records that a server ended while it had a request of this instance. */
  recordLoss (causes: RequestCauses, loss: Loss): void {
    const { request, account, levels } = causes
    const isTrial = this.tried.has(causes)
    const { server, service, sentAt, lostAt, answeredAt } = loss
    const mayBeCause = answeredAt === undefined || lostAt < answeredAt + PROVEN_AFTER_MS
    this.losses.set(request, (this.losses.peek(request) ?? 0) + 1)
    this.reported.set(String(server), { service, crashedAt: lostAt })
    const unsent = this.unsent.get(server) ?? { ...loss, lost: [] }
    unsent.lost.push({ request, account, levels: mayBeCause ? levels : [], sentAt, isTrial })
    if (unsent.lost.length === 1) {
      this.unsent.set(server, unsent)
      const { clock } = this.options
      clock.at(clock.now() + REPORT_DELAY_MS, () => this.report(server))
    }
  }

  /**
   * Records that a server answered a request completely.
   * @param sentAt when the request was sent, milliseconds of Unix time.
   */
  recordAnswer ({ request, levels }: RequestCauses, service: string, server: number, sentAt: number): void {
    this.recordAlive(server, sentAt)
    const now = this.options.clock.now()
    this.answersOf(service).count(now)
    if (this.isAnythingOpen) {
      this.clear([...levels, request], service, now)
    }
  }

  /**
   * Records that the answer to a request goes on.
   * @param answeredAt when the answer began, milliseconds of Unix time.
   */
  recordProgress ({ request, levels }: RequestCauses, service: string, answeredAt: number): void {
    if (this.isAnythingOpen && answeredAt + PROVEN_AFTER_MS <= this.options.clock.now()) {
      this.clear([...levels, request], service, answeredAt + PROVEN_AFTER_MS)
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
      this.reported.set(String(server), { service, crashedAt: Infinity })
      this.repeat(() => this.sendToDeciders({ kind: DatagramKind.CrashRetraction, address: this.options.address(), service, server }))
    }
  }

  receive (message: CrashMessage): void {
    const now = this.options.clock.now()
    const { address, service } = message
    switch (message.kind) {
      case DatagramKind.CrashReport: this.addReport(message); break
      case DatagramKind.CrashRetraction: this.evidence.get(service)?.removeCrash(message.server); break
      case DatagramKind.AnsweredNotice: this.applyAnswer(message); break
      case DatagramKind.SuspicionNotice: message.levels.forEach(({ level, ageMs }) => this.suspected.add(level, now - ageMs, now)); break
      case DatagramKind.TrialRequest: this.sendTo(address, { kind: DatagramKind.TrialResponse, address: this.options.address(), service, number: message.number, isGranted: this.grantTrial(service, message.levels) }); break
      case DatagramKind.TrialResponse: this.trialClient.receive(message); break
      case DatagramKind.QuarantineNotice: this.applyQuarantines(message.quarantines); break
    }
  }

  /** Quarantines for a heartbeat; one of few bytes where there are none. */
  quarantinesToAnnounce (): QuarantineUpdate[] {
    const now = this.options.clock.now()
    return this.quarantines.list(now).slice(-MAX_IN_HEARTBEAT).map(quarantine => withAge(quarantine, now))
  }

  /** Applies what another instance or the platform's store holds. */
  applyQuarantines (updates: readonly QuarantineUpdate[]): void {
    const now = this.options.clock.now()
    updates.forEach(({ leftMs, ...update }) => {
      const applied = this.quarantines.apply({ ...update, expiresAt: now + leftMs }, now)
      if (applied) {
        this.handleQuarantine(applied, 'received')
      }
    })
  }

  /**
   * Lifts the quarantine of a level, or of a request, at all instances.
   * @returns whether there is one.
   */
  liftAny (id: string): boolean {
    const now = this.options.clock.now()
    const lifted = Object.values(CauseKind).flatMap(kind => this.quarantines.lift(kind, id, now) ?? [])
    lifted.forEach(quarantine => this.decide(quarantine, 'lifted'))
    return lifted.length > 0
  }

  stop (): void {
    this.isStopped = true
    this.trialClient.stop()
    this.dueEvaluations.forEach(cancel => cancel())
    this.resends.forEach(cancel => cancel())
  }

  private report (server: number): void {
    const { clock, address, log } = this.options
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
      this.repeat(() => {
        const now = clock.now()
        this.sendToDeciders({ kind: DatagramKind.CrashReport, address: address(), service, server, ageMs: now - lostAt, answers, lost: part.map(({ sentAt, ...request }) => ({ ...request, sentAgeMs: now - sentAt })) })
      })
    }
  }

  private get isAnythingOpen (): boolean {
    return !this.suspected.isEmpty || [...this.evidence.values()].some(evidence => !evidence.isEmpty)
  }

  /** Announces that levels and requests about which anything is suspected were sound at that time. */
  private clear (causes: readonly string[], service: string, at: number): void {
    const { clock, address, sendToAll } = this.options
    const now = clock.now()
    const evidence = this.evidence.get(service)
    const relevant = causes.filter(id => this.suspected.isOpen(id, at, now) || evidence?.isOpen(id, at) === true)
    if (relevant.length > 0) {
      const notice: AnsweredNotice = { kind: DatagramKind.AnsweredNotice, address: address(), service, levels: relevant, ageMs: now - at }
      sendToAll(notice)
      this.applyAnswer(notice)
    }
  }

  private addReport ({ service, server, ageMs, lost, answers }: CrashReport): void {
    const { clock } = this.options
    const now = clock.now()
    const evidence = this.evidence.get(service) ?? CrashEvidence.create()
    this.evidence.set(service, evidence)
    evidence.addCrash(server, now - ageMs, lost.map(({ sentAgeMs, ...request }) => ({ ...request, sentAt: now - sentAgeMs })), answers, now)
    this.evaluateSoon(service, evidence)
  }

  private evaluateSoon (service: string, evidence: CrashEvidence): void {
    const { clock } = this.options
    if (!this.dueEvaluations.has(service)) {
      this.dueEvaluations.set(service, clock.at(clock.now() + SETTLE_MS, () => this.evaluate(service, evidence)))
    }
  }

  private evaluate (service: string, evidence: CrashEvidence): void {
    this.dueEvaluations.delete(service)
    const now = this.options.clock.now()
    this.quarantines.list(now).filter(({ kind, isLifted }) => kind === CauseKind.Level && !isLifted).forEach(quarantine => {
      evidence.markExplained(quarantine.id)
      if (quarantine.account !== undefined && evidence.isProvenBeyond(quarantine.id, quarantine.account)) {
        this.decideIfNew(this.quarantines.widen(quarantine, now), 'widened')
      }
    })
    evidence.proveCauses(this.options.serverCount(service), now).forEach(cause => this.decideIfNew(this.quarantines.add(cause, now), 'proven'))
    this.announceSuspicions(service, evidence, now)
    // Not before: another request would be tried while the crash of the last one is proof enough.
    this.trials.end(evidence.levelsOfCrashesSince(now - TRIED_WITHIN_MS))
  }

  private announceSuspicions (service: string, evidence: CrashEvidence, now: number): void {
    const { address, log, sendToAll } = this.options
    const fresh = [...evidence.suspectedLevels()].filter(([level, crashedAt]) => this.suspected.add(level, crashedAt, now))
    if (fresh.length > 0) {
      log.levelSuspected(service, fresh.map(([level]) => level))
      this.repeat(() => sendToAll({ kind: DatagramKind.SuspicionNotice, address: address(), service, levels: fresh.map(([level, crashedAt]) => ({ level, ageMs: this.options.clock.now() - crashedAt })) }))
    }
  }

  private grantTrial (service: string, levels: readonly string[]): boolean {
    const evidence = this.evidence.get(service)
    return this.trials.begin(levels.filter(level => evidence?.isSuspected(level) === true), this.options.serverCount(service), this.options.clock.now())
  }

  private applyAnswer ({ service, levels, ageMs }: AnsweredNotice): void {
    const at = this.options.clock.now() - ageMs
    const evidence = this.evidence.get(service)
    if (evidence && !evidence.isEmpty) {
      evidence.addAnswer(levels, at)
      // What is left of several suspected levels may be proven now.
      this.evaluateSoon(service, evidence)
    }
    this.trials.end(new Set(levels))
    this.suspected.clear(levels, at)
  }

  private decideIfNew (quarantine: Quarantine | undefined, how: string): void {
    if (quarantine) {
      this.decide(quarantine, how)
    }
  }

  private decide (quarantine: Quarantine, how: string): void {
    this.handleQuarantine(quarantine, how)
    this.announce(quarantine)
    this.options.onDecided(quarantine)
  }

  private handleQuarantine (quarantine: Quarantine, how: string): void {
    const { log, onQuarantine } = this.options
    log.quarantineChanged(quarantine, how)
    if (quarantine.kind === CauseKind.Level && !quarantine.isLifted) {
      this.evidence.forEach(evidence => evidence.markExplained(quarantine.id))
      this.suspected.remove(quarantine.id)
    }
    onQuarantine(quarantine)
  }

  private announce (quarantine: Quarantine): void {
    const { clock, address, sendToAll } = this.options
    this.repeat(() => sendToAll({ kind: DatagramKind.QuarantineNotice, address: address(), service: '', quarantines: [withAge(quarantine, clock.now())] }))
  }

  private answersOf (service: string): AnswerCounter {
    const answers = this.answers.get(service) ?? AnswerCounter.create()
    this.answers.set(service, answers)
    return answers
  }

  private sendToDeciders (message: CrashMessage): void {
    this.options.decidersOf(message.service).forEach(address => this.sendTo(address, message))
  }

  private sendTo (address: string, message: CrashMessage): void {
    if (address === this.options.address()) {
      this.receive(message)
    } else {
      this.options.send(address, message)
    }
  }

  /** Sends now and again a few times, since datagrams may be lost. */
  private repeat (send: () => void, sends = SENDS): void {
    send()
    if (sends > 1 && !this.isStopped) {
      const { clock } = this.options
      const cancel = clock.at(clock.now() + RESEND_MS, () => {
        this.resends.delete(cancel)
        this.repeat(send, sends - 1)
      })
      this.resends.add(cancel)
    }
  }
}

function withAge ({ expiresAt, ...quarantine }: Quarantine, now: number): QuarantineUpdate {
  return { ...quarantine, leftMs: expiresAt - now }
}
