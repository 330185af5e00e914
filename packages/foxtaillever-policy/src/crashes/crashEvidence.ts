/**
 * Finds out which level of prompts, or which request, crashes the backend servers.
 *
 * Every request that was in flight at a crash may have caused it, and most levels of
 * prompts are in flight at most crashes. What tells the cause from its company is that no
 * request with it is ever answered, and that it explains several crashes by requests that
 * were sent one after another. A level is suspected from its second crash on and then
 * tried by one request at a time; it is quarantined once enough crashes speak against it.
 */
import { answersSince, ANSWER_SPANS_MS, CauseKind, countRequests, explainsAsWell, isCausedBy, onlyAccount, successiveCrashes, summarize, type AnswerCounts, type Crash, type CrashSummary, type LostRequest, type Suspicion } from './suspicion.js'

/** A cause of crashes that the evidence proves. */
export interface ProvenCause {
  readonly kind: CauseKind
  /** Id of the level, or digest of the request. */
  readonly id: string
  /** The only client account whose requests crashed servers; undefined if there are several, so that the cause does not depend on the account. */
  readonly account: string | undefined
  /** The crashes that prove it, in order of time. */
  readonly crashes: readonly CrashSummary[]
}

/** Crashes by requests sent one after another, and distinct requests among them, without which nothing is proven. */
const MIN_CRASHES = 3
const MIN_REQUESTS: Readonly<Record<CauseKind, number>> = { [CauseKind.Level]: 2, [CauseKind.Request]: 1 }

/**
 * How unlikely it must be that none of the crashed requests with a level was answered
 * although the level is sound, as a natural logarithm. A level that many requests share
 * is in flight at every crash, so that chance gets more opportunities.
 */
const MIN_EVIDENCE = 5.5
const MIN_EVIDENCE_OF_SHARED = 8.5

/** A level is shared by many if so many of its requests are lost in a crash, on average. */
const SHARED_BY = 2

/** Each crash may be a coincidence with this probability, however rare it seems. */
const MIN_CHANCE = 0.05

/** A trial lasts about this long, milliseconds: a server that crashes meanwhile for another reason speaks against the level by chance. */
const TRIAL_MS = 500

/** Chance that another of the levels that were tried at the same server crashed it. */
const AMBIGUOUS_CHANCE = 0.5

/** Crashes within this time show how often servers crash, milliseconds. */
const CRASH_RATE_MS = 10_000

/** Distinct crashes from which a cause is suspected. */
const CRASHES_TO_SUSPECT = 2

/** Evidence is kept for this long, milliseconds. */
const KEPT_MS = 120_000

/**
 * Times of one event that several instances report differ by the delay of their datagrams, milliseconds. A request
 * that was sent later than this after a crash did not cause it.
 */
const MAX_REPORT_SKEW_MS = 30

const MAX_CRASHES = 64
const MAX_LOST_REQUESTS = 256

function wasInFlight ({ sentAt }: LostRequest, { at }: Crash): boolean {
  return sentAt <= at + MAX_REPORT_SKEW_MS
}

/** The time of the crash may be known better since these were added. */
function removeSentAfter (crash: Crash): void {
  const { lost, levels } = crash
  lost.forEach(request => {
    if (!wasInFlight(request, crash)) {
      lost.delete(request.request)
    }
  })
  levels.clear()
  lost.forEach(request => request.levels.forEach(level => levels.add(level)))
}

export class CrashEvidence {
  /** By the hash of the server's incarnation, in order of arrival. */
  private readonly crashes = new Map<number, Crash>()
  /** When a request with the level was last known to be answered, milliseconds of Unix time; by the level's id, or the request's digest. */
  private readonly answeredAt = new Map<string, number>()
  private readonly provenRequests = new Set<string>()

  private constructor () {}

  static create (): CrashEvidence {
    return new CrashEvidence()
  }

  get isEmpty (): boolean {
    return this.crashes.size === 0
  }

  /**
   * Adds requests that were in flight when a server crashed. Of several times of the crash the earliest counts, and
   * requests that were sent after it do not.
   * @param at time of the crash, milliseconds of Unix time.
   * @param answers of the instance that lost these, before the crash.
   */
  addCrash (server: number, at: number, lost: readonly LostRequest[], answers: AnswerCounts, now: number): void {
    this.expire(now)
    const crash = this.crashes.get(server) ?? { server, at, lost: new Map(), levels: new Set(), answers: ANSWER_SPANS_MS.map(() => 0), isConfirmed: false, isExplained: false }
    if (lost.some(({ request }) => !crash.lost.has(request))) {
      answers.forEach((count, index) => { crash.answers[index] = (crash.answers[index] ?? 0) + count })
    }
    crash.at = Math.min(crash.at, at)
    this.crashes.set(server, crash)
    lost.filter(request => crash.lost.size < MAX_LOST_REQUESTS && wasInFlight(request, crash)).forEach(request => crash.lost.set(request.request, request))
    removeSentAfter(crash)
  }

  /** The server is known to have ended. Only such crashes prove anything. */
  confirmEnd (server: number): void {
    const crash = this.crashes.get(server)
    if (crash) {
      crash.isConfirmed = true
    }
  }

  isConfirmed (server: number): boolean {
    return this.crashes.get(server)?.isConfirmed === true
  }

  /** Removes a crash that did not happen: the same incarnation is alive. */
  removeCrash (server: number): void {
    this.crashes.delete(server)
  }

  /**
   * @param causes levels of a request that was answered, and its digest.
   * @param at milliseconds of Unix time.
   */
  addAnswer (causes: readonly string[], at: number): void {
    causes.filter(id => this.crashesWith(id).length > 0).forEach(id => this.answeredAt.set(id, Math.max(at, this.answeredAt.get(id) ?? 0)))
  }

  /** Whether anything speaks against the level, or the request, that an answer at that time disproves, milliseconds of Unix time. */
  isOpen (level: string, at: number): boolean {
    return this.unexplainedCrashes(level).some(crash => crash.at < at)
  }

  /** Levels that were in flight at several crashes since the last answer, with the time of the last of these crashes. */
  suspectedLevels (): Map<string, number> {
    const suspected = [...this.suspicions().values()].filter(({ kind, crashes }) => kind === CauseKind.Level && crashes.length >= CRASHES_TO_SUSPECT)
    return new Map(suspected.map(({ id, crashes }) => [id, crashes.at(-1)?.at ?? 0]))
  }

  /** Whether the level was in flight at several crashes since the last answer. */
  isSuspected (level: string): boolean {
    return this.unexplainedCrashes(level).filter(({ isConfirmed }) => isConfirmed).length >= CRASHES_TO_SUSPECT
  }

  /** Whether the level was in flight at a crash of which it is not known yet whether the server has ended. */
  isPending (level: string): boolean {
    return this.unexplainedCrashes(level).some(({ isConfirmed }) => !isConfirmed)
  }

  /** Levels that were in flight at crashes since a time, with the time of the last of these crashes, milliseconds of Unix time. */
  levelsOfCrashesSince (since: number): Map<string, number> {
    const recent = [...this.crashes.values()].filter(({ at }) => at >= since).sort((a, b) => a.at - b.at)
    return new Map(recent.flatMap(({ at, levels }) => [...levels].map(level => [level, at] as const)))
  }

  /** Records that a level is known to crash servers: crashes with it in flight say nothing about other levels. */
  markExplained (level: string): void {
    this.crashesWith(level).forEach(crash => { crash.isExplained = true })
  }

  /**
   * Causes that are proven now; each is reported once, since it explains its crashes.
   * @param serverCount servers of the service.
   */
  proveCauses (serverCount: number, now: number): ProvenCause[] {
    this.expire(now)
    const proven: ProvenCause[] = []
    for (let cause = this.strongestProof(serverCount); cause !== undefined; cause = this.strongestProof(serverCount)) {
      const { kind, id, crashes } = cause
      proven.push({ kind, id, account: onlyAccount(crashes, cause), crashes: crashes.map(crash => summarize(crash, cause)) })
      if (kind === CauseKind.Level) {
        this.markExplained(id)
      } else {
        this.provenRequests.add(id)
      }
    }
    return proven
  }

  /**
   * Whether a quarantined level crashed a server without a request of the account, so
   * that the cause does not depend on the account.
   */
  isProvenBeyond (level: string, account: string): boolean {
    return this.crashesWith(level).some(crash => {
      const requests = [...crash.lost.values()].filter(({ levels }) => levels.includes(level))
      return requests.length > 0 && requests.every(request => request.account !== account)
    })
  }

  private crashesWith (id: string): Crash[] {
    return [...this.crashes.values()].filter(({ levels, lost }) => levels.has(id) || lost.has(id))
  }

  private unexplainedCrashes (level: string): Crash[] {
    const answeredAt = this.answeredAt.get(level) ?? -Infinity
    return this.crashesWith(level).filter(({ isExplained, at }) => !isExplained && at > answeredAt)
  }

  private confirmedCrashes (): Crash[] {
    return [...this.crashes.values()].filter(({ isConfirmed }) => isConfirmed)
  }

  /** Everything that was in flight at confirmed crashes that are not explained. */
  private suspicions (): Map<string, Suspicion> {
    const suspicions = new Map<string, Suspicion>()
    const add = (kind: CauseKind, id: string, depth: number, crash: Crash): void => {
      const key = `${kind}/${id}`
      const known = suspicions.get(key) ?? { kind, id, crashes: [], depth }
      known.depth = Math.max(known.depth, depth)
      if (known.crashes.at(-1) !== crash) {
        known.crashes.push(crash)
      }
      suspicions.set(key, known)
    }
    for (const crash of this.confirmedCrashes().sort((a, b) => a.at - b.at)) {
      crash.lost.forEach(({ request, levels }) => {
        if (!this.provenRequests.has(request) && crash.at > (this.answeredAt.get(request) ?? -Infinity)) {
          add(CauseKind.Request, request, levels.length, crash)
        }
        if (!crash.isExplained) {
          levels.forEach((level, depth) => {
            if (crash.at > (this.answeredAt.get(level) ?? -Infinity)) {
              add(CauseKind.Level, level, depth, crash)
            }
          })
        }
      })
    }
    return suspicions
  }

  /** What is proven and not explained as well by something more specific. */
  private strongestProof (serverCount: number): Suspicion | undefined {
    const suspicions = [...this.suspicions().values()]
    return suspicions.find(suspicion => this.isProven(suspicion, serverCount) && !suspicions.some(other => explainsAsWell(other, suspicion)))
  }

  private isProven (suspicion: Suspicion, serverCount: number): boolean {
    const successive = successiveCrashes(suspicion)
    const evidence = suspicion.kind === CauseKind.Level
      ? successive.slice(1).reduce((sum, crash, index) => sum - Math.log(this.chanceOf(crash, successive[index] as Crash, suspicion, serverCount)), 0)
      : Infinity
    const requests = countRequests(suspicion)
    const minEvidence = requests > SHARED_BY * suspicion.crashes.length ? MIN_EVIDENCE_OF_SHARED : MIN_EVIDENCE
    return successive.length >= MIN_CRASHES && evidence >= minEvidence && requests >= MIN_REQUESTS[suspicion.kind]
  }

  /**
   * How likely it is that the next request with a sound level is lost after a crash too:
   * as are others that were sent meanwhile, or a trial by a crash for another reason.
   */
  private chanceOf (crash: Crash, before: Crash, suspicion: Suspicion, serverCount: number): number {
    const { at, lost } = crash
    const isOwn = isCausedBy(suspicion)
    const trials = [...lost.values()].filter(({ isTrial }) => isTrial)
    const isTrial = trials.some(isOwn)
    if (isTrial && trials.some(trial => !isOwn(trial) && trial.levels.some(level => this.isSuspected(level)))) {
      return AMBIGUOUS_CHANCE
    }
    const crashesLately = [...this.crashes.values()].filter(other => other.at > at - CRASH_RATE_MS && other.at <= at).length
    const chance = isTrial ? crashesLately * TRIAL_MS / CRASH_RATE_MS / serverCount : (lost.size + 1) / (answersSince(crash, before.at) + lost.size + 1)
    return Math.min(1, Math.max(MIN_CHANCE, chance))
  }

  private expire (now: number): void {
    for (const [server, { at }] of this.crashes) {
      if (at + KEPT_MS <= now || this.crashes.size > MAX_CRASHES) {
        this.crashes.delete(server)
      }
    }
    if (this.crashes.size === 0) {
      this.answeredAt.clear()
      this.provenRequests.clear()
    }
  }
}
