/** Decides from the reports of all instances what crashes the servers of the services that this instance decides for. */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { CrashEvidence } from 'foxtaillever-policy/crashes/crashEvidence'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine, QuarantineTable } from 'foxtaillever-policy/crashes/quarantineTable'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { CrashReport } from './crashMessage.js'
import { LevelTrials } from './levelTrials.js'

/** Reports of one crash by several instances arrive within this time, milliseconds. */
const SETTLE_MS = 30

/** Crashes of trials are evaluated within this time, milliseconds. */
const TRIED_WITHIN_MS = 500

export interface CrashDeciderOptions {
  readonly clock: Clock
  readonly quarantines: QuarantineTable
  /** Listed servers of a service; at least 1. */
  readonly serverCount: (service: string) => number
  /** Whether a server, given by the hash of its incarnation, still writes its entry in the platform's store. Never rejects. */
  readonly isBeating: (server: number) => Promise<boolean>
  readonly log: Pick<RelayLog, 'heartbeatChecked' | 'causeProven'>
  /** @param how it came about. */
  readonly onDecided: (quarantine: Quarantine, how: 'proven' | 'widened') => void
  /** @param levels with the time of the last crash, milliseconds of Unix time. */
  readonly onSuspected: (service: string, levels: ReadonlyMap<string, number>) => void
}

export class CrashDecider {
  /** By service. */
  private readonly evidence = new Map<string, CrashEvidence>()
  private readonly trials = LevelTrials.create()
  /** Hashes of the servers whose heartbeats are checked. */
  private readonly checked = new Set<number>()
  private readonly dueEvaluations = new Map<string, Cancellation>()

  private constructor (private readonly options: CrashDeciderOptions) {}

  static create (options: CrashDeciderOptions): CrashDecider {
    return new CrashDecider(options)
  }

  /** Whether any crash is on record. */
  get isEmpty (): boolean {
    return [...this.evidence.values()].every(evidence => evidence.isEmpty)
  }

  /** Whether a crash speaks against the level, or the request, that an answer at that time disproves, milliseconds of Unix time. */
  isOpen (service: string, id: string, at: number): boolean {
    return this.evidence.get(service)?.isOpen(id, at) === true
  }

  addReport ({ service, server, ageMs, hasEnded, lost, answers }: CrashReport): void {
    const now = this.options.clock.now()
    const evidence = this.evidence.get(service) ?? CrashEvidence.create()
    this.evidence.set(service, evidence)
    evidence.addCrash(server, now - ageMs, lost.map(({ sentAgeMs, ...request }) => ({ ...request, sentAt: now - sentAgeMs })), answers, now)
    if (hasEnded) {
      evidence.confirmEnd(server)
    } else if (!evidence.isConfirmed(server)) {
      this.checkHeartbeat(service, evidence, server)
    }
    this.evaluateSoon(service, evidence)
  }

  private checkHeartbeat (service: string, evidence: CrashEvidence, server: number): void {
    const { log, isBeating } = this.options
    if (this.checked.has(server)) {
      return
    }
    this.checked.add(server)
    isBeating(server).then(isAlive => {
      this.checked.delete(server)
      log.heartbeatChecked(service, server, isAlive)
      if (isAlive) {
        evidence.removeCrash(server)
      } else {
        evidence.confirmEnd(server)
        this.evaluateSoon(service, evidence)
      }
    }, () => {})
  }

  /** The server has answered since. */
  removeCrash (service: string, server: number): void {
    this.evidence.get(service)?.removeCrash(server)
  }

  /**
   * @param causes levels of a request that was answered, and its digest.
   * @param at milliseconds of Unix time.
   */
  addAnswer (service: string, causes: readonly string[], at: number): void {
    const evidence = this.evidence.get(service)
    if (evidence && !evidence.isEmpty) {
      evidence.addAnswer(causes, at)
      // What is left of several suspected levels may be proven now.
      this.evaluateSoon(service, evidence)
    }
    this.trials.end(new Map(causes.map(id => [id, at])))
  }

  /** Whether a request with these levels may be sent now. */
  grantTrial (service: string, levels: readonly string[]): boolean {
    const { clock, serverCount } = this.options
    const evidence = this.evidence.get(service)
    const suspected = levels.filter(level => evidence?.isSuspected(level) === true)
    // The crash that is being checked may be proof enough.
    return !suspected.some(level => evidence?.isPending(level) === true) && this.trials.begin(suspected, serverCount(service), clock.now())
  }

  /** A level is known to crash servers: crashes with it say nothing about others. */
  markExplained (level: string): void {
    this.evidence.forEach(evidence => evidence.markExplained(level))
  }

  stop (): void {
    this.dueEvaluations.forEach(cancel => cancel())
  }

  private evaluateSoon (service: string, evidence: CrashEvidence): void {
    const { clock } = this.options
    if (!this.dueEvaluations.has(service)) {
      this.dueEvaluations.set(service, clock.at(clock.now() + SETTLE_MS, () => this.evaluate(service, evidence)))
    }
  }

  private evaluate (service: string, evidence: CrashEvidence): void {
    const { clock, log, quarantines, serverCount, onDecided, onSuspected } = this.options
    this.dueEvaluations.delete(service)
    const now = clock.now()
    quarantines.list(now).filter(({ kind, isLifted }) => kind === CauseKind.Level && !isLifted).forEach(quarantine => {
      evidence.markExplained(quarantine.id)
      if (quarantine.account !== undefined && evidence.isProvenBeyond(quarantine.id, quarantine.account)) {
        onDecided(quarantines.widen(quarantine, now), 'widened')
      }
    })
    evidence.proveCauses(serverCount(service), now).forEach(({ crashes, ...cause }) => {
      log.causeProven(service, cause, crashes, now)
      onDecided(quarantines.add({ ...cause, servers: crashes.map(({ server }) => server) }, now), 'proven')
    })
    onSuspected(service, evidence.suspectedLevels())
    // Not before: another request would be tried while the crash of the last one is proof enough.
    this.trials.end(evidence.levelsOfCrashesSince(now - TRIED_WITHIN_MS))
  }
}
