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
import type { Clock } from 'foxtaillever-core'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import { QuarantineTable, type Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { DatagramKind } from '../peers/datagram.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { CrashDecider } from './crashDecider.js'
import type { AnsweredNotice, CrashMessage, QuarantineUpdate } from './crashMessage.js'
import { LossReporter, PROVEN_AFTER_MS, type Loss } from './lossReporter.js'
import type { RequestCauses } from './lostRequests.js'
import { Repeater } from './repeater.js'
import { SuspectedLevels } from './suspectedLevels.js'
import { TrialClient } from './trialClient.js'

/** Servers that may crash with a request in flight before it is not retried within the same answer. */
const MAX_CRASHES = 1

/** Quarantines in a heartbeat, 40 to 80 bytes each. */
const MAX_IN_HEARTBEAT = 12

export interface CrashProtocolOptions {
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'quarantineChanged' | 'crashReported' | 'heartbeatChecked' | 'causeProven' | 'levelSuspected' | 'trialDecided'>
  readonly address: () => string
  /** Addresses of the instances that decide for a service, in order. */
  readonly decidersOf: (service: string) => readonly string[]
  /** Listed servers of a service; at least 1. */
  readonly serverCount: (service: string) => number
  /** Whether a server, given by the hash of its incarnation, still writes its entry in the platform's store. Never rejects. */
  readonly isBeating: (server: number) => Promise<boolean>
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

export class CrashProtocol {
  readonly quarantines = QuarantineTable.create()
  private readonly suspected = SuspectedLevels.create()
  /** Requests of this instance whose suspected levels are tried. */
  private readonly tried = new WeakSet<RequestCauses>()
  private readonly reporter: LossReporter
  private readonly decider: CrashDecider
  private readonly trialClient: TrialClient
  private readonly repeater: Repeater

  private constructor (private readonly options: CrashProtocolOptions) {
    const { clock, log, address, decidersOf, serverCount, isBeating } = options
    this.repeater = Repeater.create(clock)
    this.reporter = LossReporter.create({ clock, log, address, sendToDeciders: message => decidersOf(message.service).forEach(decider => this.sendTo(decider, message)) })
    this.decider = CrashDecider.create({
      clock,
      log,
      quarantines: this.quarantines,
      serverCount,
      isBeating,
      onDecided: (quarantine, how) => this.decide(quarantine, how),
      onSuspected: (service, levels) => this.announceSuspicions(service, levels)
    })
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
    const isSuspected = this.suspected.among(causes.levels, this.options.clock.now()).length > 0
    return !isSuspected && this.reporter.crashesWith(causes.request) <= MAX_CRASHES && this.findQuarantine(causes) === undefined
  }

  /** Records that a server ended while it had a request of this instance. */
  recordLoss (causes: RequestCauses, loss: Loss): void {
    this.reporter.recordLoss(causes, loss, this.tried.has(causes))
  }

  /**
   * Records that a server answered a request completely.
   * @param sentAt when the request was sent, milliseconds of Unix time.
   */
  recordAnswer ({ request, levels }: RequestCauses, service: string, server: number, sentAt: number): void {
    this.reporter.recordAlive(server, sentAt)
    this.reporter.recordAnswer(request)
    this.reporter.countAnswer(service)
    if (this.isAnythingOpen) {
      this.clear([...levels, request], service, this.options.clock.now())
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

  receive (message: CrashMessage): void {
    const now = this.options.clock.now()
    const { address, service } = message
    switch (message.kind) {
      case DatagramKind.CrashReport: this.decider.addReport(message); break
      case DatagramKind.CrashRetraction: this.decider.removeCrash(service, message.server); break
      case DatagramKind.AnsweredNotice: this.applyAnswer(message); break
      case DatagramKind.SuspicionNotice: message.levels.forEach(({ level, ageMs }) => this.suspected.add(level, now - ageMs, now)); break
      case DatagramKind.TrialRequest: {
        const isGranted = this.decider.grantTrial(service, message.levels)
        this.sendTo(address, { kind: DatagramKind.TrialResponse, address: this.options.address(), service, number: message.number, isGranted })
        break
      }
      case DatagramKind.TrialResponse: this.trialClient.receive(message); break
      case DatagramKind.QuarantineNotice: this.applyQuarantines(message.quarantines); break
    }
  }

  /** The newest quarantines, for a heartbeat. */
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
    const working = [this.reporter, this.decider, this.trialClient, this.repeater]
    working.forEach(part => part.stop())
  }

  private get isAnythingOpen (): boolean {
    return !this.suspected.isEmpty || !this.decider.isEmpty
  }

  /** Announces that levels and requests about which anything is suspected were sound at that time. */
  private clear (causes: readonly string[], service: string, at: number): void {
    const { clock, address, sendToAll } = this.options
    const now = clock.now()
    const relevant = causes.filter(id => this.suspected.isOpen(id, at, now) || this.decider.isOpen(service, id, at))
    if (relevant.length > 0) {
      const notice: AnsweredNotice = { kind: DatagramKind.AnsweredNotice, address: address(), service, levels: relevant, ageMs: now - at }
      sendToAll(notice)
      this.applyAnswer(notice)
    }
  }

  private applyAnswer ({ service, levels, ageMs }: AnsweredNotice): void {
    const at = this.options.clock.now() - ageMs
    this.decider.addAnswer(service, levels, at)
    this.suspected.clear(levels, at)
  }

  private announceSuspicions (service: string, suspected: ReadonlyMap<string, number>): void {
    const { clock, address, log, sendToAll } = this.options
    const now = clock.now()
    const fresh = [...suspected].filter(([level, crashedAt]) => this.suspected.add(level, crashedAt, now))
    if (fresh.length > 0) {
      log.levelSuspected(service, fresh.map(([level]) => level))
      this.repeater.repeat(() => sendToAll({ kind: DatagramKind.SuspicionNotice, address: address(), service, levels: fresh.map(([level, crashedAt]) => ({ level, ageMs: clock.now() - crashedAt })) }))
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
      this.decider.markExplained(quarantine.id)
      this.suspected.remove(quarantine.id)
    }
    onQuarantine(quarantine)
  }

  private announce (quarantine: Quarantine): void {
    const { clock, address, sendToAll } = this.options
    this.repeater.repeat(() => sendToAll({ kind: DatagramKind.QuarantineNotice, address: address(), service: '', quarantines: [withAge(quarantine, clock.now())] }))
  }

  private sendTo (address: string, message: CrashMessage): void {
    if (address === this.options.address()) {
      this.receive(message)
    } else {
      this.options.send(address, message)
    }
  }
}

function withAge ({ expiresAt, ...quarantine }: Quarantine, now: number): QuarantineUpdate {
  return { ...quarantine, leftMs: expiresAt - now }
}
