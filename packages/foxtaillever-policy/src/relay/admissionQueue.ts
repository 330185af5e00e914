/**
 * Decides which request is sent next to one backend server, and which is rejected.
 *
 * Load pattern: for some seconds more prompts arrive than the server reads, as in a
 * burst, after other servers crashed, or while one client account sends many times its
 * usual load. Sent at once, ten large prompts fill the server's memory and are read one
 * after the other; a short urgent prompt that the server starts at once still waits for
 * all of them. Under memory pressure the server preempts requests and reads them twice.
 *
 * So prompts wait here, and the server gets the next one shortly before it would be
 * idle. Until then a more urgent request, or one of an account with less work served,
 * can go first, and a request that cannot begin before its deadline is rejected while
 * its caller can still use the time.
 */
import { ClassQueue, type FairJob } from '../order/classQueue.js'
import { hasRoomFor, type ServerRoom } from './serverRoom.js'
import { RejectedRequests } from './rejectedRequests.js'
import { LEAST_URGENT_PRIORITY, yieldPriority } from './yieldPriority.js'

export interface AdmissionEntry {
  /** Identifies the request. */
  readonly key: string
  /** Client account; empty for none. */
  readonly account: string
  /** Equal for a request and its retry by the same caller. */
  readonly fingerprint: number
  /** Prompt tokens that the server has to read. */
  readonly tokens: number
  /** Tokens of the server's memory that the request occupies until it ends. */
  readonly heldTokens: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Until when its first event may be expected for it to be on time (FEASIBLE_QUEUE_SHARE of the objective), milliseconds of Unix time. */
  readonly objectiveAt: number
  /** From then on it cannot begin in time for its deadline, milliseconds of Unix time. */
  readonly latestStartAt: number
  /** Its requester renews it before then, milliseconds of Unix time. */
  readonly expiresAt: number
}

export interface RejectedEntry {
  readonly entry: AdmissionEntry
  /** When there will be room, milliseconds of Unix time. */
  readonly retryAt: number
}

export interface AdmissionDecision {
  readonly admitted: AdmissionEntry[]
  readonly rejected: RejectedEntry[]
}

interface QueuedEntry extends FairJob {
  readonly job: AdmissionEntry
  /** Rank of its priority. */
  readonly firstRank: number
  /** Whether it is the retry of a rejected request. */
  readonly isReturning: boolean
  /** Class of the queue; rises when the request can no longer be on time. */
  rank: number
  expiresAt: number
}

/**
 * Share of the objective up to which a queued request is expected to be on time. The owner knows the queue better than a
 * requester that sends at once and yields beyond 0.8: with 0.8, requests that would have been on time are moved back.
 */
export const FEASIBLE_QUEUE_SHARE = 0.9

/** Minimum time between two decisions without a new report, milliseconds. */
const MIN_INTERVAL_MS = 10

/** Latest retry time that is given, milliseconds from now: later ones would be given to callers who have given up. */
const MAX_RETRY_MS = 5000

/** Weight of each new interval in the mean interval between admissions. */
const INTERVAL_WEIGHT = 0.2

/** Class of the queue for a priority, which another instance may have sent. */
function rankOf (priority: number): number {
  return Math.min(LEAST_URGENT_PRIORITY, Math.max(0, Math.round(priority)))
}

export class AdmissionQueue {
  private readonly ranks = Array.from({ length: LEAST_URGENT_PRIORITY + 1 }, () => ClassQueue.create<QueuedEntry>())
  private readonly entries = new Map<string, QueuedEntry>()
  private readonly rejectedRequests = RejectedRequests.create()
  /** Mean time between two admissions while requests wait for slots or memory, milliseconds: these free more slowly than the server reads. */
  private intervalMs = 0
  /** Since when requests wait for slots or memory, or the last admission since then, milliseconds of Unix time; undefined while they wait for reading. */
  private blockedSince: number | undefined

  private constructor () {}

  static create (): AdmissionQueue {
    return new AdmissionQueue()
  }

  get size (): number {
    return this.entries.size
  }

  has (key: string): boolean {
    return this.entries.has(key)
  }

  /** Adds a request, or renews it. */
  add (entry: AdmissionEntry, now: number): void {
    const known = this.entries.get(entry.key)
    if (known) {
      known.expiresAt = entry.expiresAt
      return
    }
    const rank = rankOf(entry.priority)
    const isReturning = this.rejectedRequests.takeRetry(entry.fingerprint, now)
    const queued = { job: entry, cost: entry.tokens, weight: 1, attempts: 0, gone: false, turn: 0, sequence: 0, rank, firstRank: rank, isReturning, expiresAt: entry.expiresAt }
    if (isReturning) {
      this.insertBeforeNew(queued)
    } else {
      this.insert(queued)
    }
  }

  remove (key: string): void {
    const queued = this.entries.get(key)
    if (queued) {
      this.entries.delete(key)
      this.classOf(queued).remove(queued)
    }
  }

  /**
   * Tokens queued at the priority or a more urgent one. For an account, only those before its next request: with all of
   * them, the queue of an account that floods every server would hide how long others wait at each.
   */
  queuedTokens (priority: number, account?: string): number {
    const rank = rankOf(priority)
    const moreUrgent = this.ranks.slice(0, rank).reduce((tokens, { work }) => tokens + work, 0)
    const jobs = this.classOf({ rank })
    if (account === undefined) {
      return moreUrgent + jobs.work
    }
    const nextTurn = jobs.nextTurnOf(account)
    return this.inOrder(rank).filter(({ turn }) => turn <= nextTurn).reduce((tokens, { cost }) => tokens + cost, moreUrgent)
  }

  /** Takes the requests that are admitted or rejected now out of the queue, in order. */
  decide (room: ServerRoom, now: number): AdmissionDecision {
    this.removeExpired(now)
    const rejected = this.rejectHopeless(room, now)
    const admitted = this.admit(room)
    this.recordInterval(admitted.length, this.isBlocked(room, admitted), now)
    return { admitted, rejected }
  }

  /** Whether requests wait although the server will soon have read what it has. */
  private isBlocked ({ backlogTokens, readAheadMs, tokensPerMs }: ServerRoom, admitted: readonly AdmissionEntry[]): boolean {
    const tokens = admitted.reduce((sum, entry) => sum + entry.tokens, backlogTokens)
    return this.size > 0 && tokens < readAheadMs * tokensPerMs
  }

  private recordInterval (admissions: number, isBlocked: boolean, now: number): void {
    if (admissions > 0 && this.blockedSince !== undefined) {
      this.intervalMs += INTERVAL_WEIGHT * ((now - this.blockedSince) / admissions - this.intervalMs)
    }
    if (!isBlocked) {
      this.blockedSince = undefined
      this.intervalMs = 0
    } else if (admissions > 0 || this.blockedSince === undefined) {
      this.blockedSince = now
    }
  }

  /** When to decide again without a new report, milliseconds of Unix time; Infinity while empty. */
  nextDecisionAt ({ backlogTokens, tokensPerMs, readAheadMs }: ServerRoom, now: number): number {
    const waitMs = backlogTokens / tokensPerMs
    let at = Infinity
    let startInMs = waitMs
    for (const { job, expiresAt } of this.ranks.flatMap((_, rank) => this.inOrder(rank))) {
      // On a server that has stopped, the expected start moves away from here on.
      at = Math.min(at, expiresAt, job.latestStartAt - startInMs)
      startInMs += job.tokens / tokensPerMs
    }
    // Below the read-ahead, the next entry waits for a slot or for memory: a report shows when there is one.
    const readAt = this.size > 0 && waitMs >= readAheadMs ? now + waitMs - readAheadMs : Infinity
    return Math.max(now + MIN_INTERVAL_MS, Math.min(at, readAt))
  }

  private classOf ({ rank }: Pick<QueuedEntry, 'rank'>): ClassQueue<QueuedEntry> {
    return this.ranks[rank] as ClassQueue<QueuedEntry>
  }

  private insert (queued: QueuedEntry): void {
    this.entries.set(queued.job.key, queued)
    this.classOf(queued).add(queued)
  }

  /**
   * A retry takes the turn of its account's first new request, and these move back by one. Its head start puts it before
   * new requests of accounts that were served as much. Without a limit to that, the retries of an account that floods the
   * server would take all of it.
   */
  private insertBeforeNew (queued: QueuedEntry): void {
    const newRequests = this.inOrder(queued.rank).filter(({ job, isReturning }) => job.account === queued.job.account && !isReturning)
    newRequests.forEach(({ job }) => this.remove(job.key))
    this.insert({ ...queued, headStart: queued.cost })
    newRequests.forEach(each => this.insert({ ...each, gone: false }))
  }

  private removeExpired (now: number): void {
    for (const { job: { key }, expiresAt } of [...this.entries.values()]) {
      if (expiresAt <= now) {
        this.remove(key)
      }
    }
  }

  /** Rejects what cannot begin before its deadline, and puts what can no longer be on time behind what can. */
  private rejectHopeless ({ backlogTokens, tokensPerMs }: ServerRoom, now: number): RejectedEntry[] {
    const rejected: RejectedEntry[] = []
    let tokensBefore = backlogTokens
    let requestsBefore = 0
    const expectedStart = (): number => now + Math.max(tokensBefore / tokensPerMs, requestsBefore * this.intervalMs)
    for (let rank = 0; rank <= LEAST_URGENT_PRIORITY; rank += 1) {
      const hopeless: QueuedEntry[] = []
      for (const queued of this.inOrder(rank)) {
        const { job, firstRank } = queued
        const startAt = expectedStart()
        if (startAt > job.latestStartAt) {
          hopeless.push(queued)
        } else if (startAt + job.tokens / tokensPerMs > job.objectiveAt && rank < yieldPriority(firstRank)) {
          this.lowerRank(queued)
        } else {
          tokensBefore += job.tokens
          requestsBefore += 1
        }
      }
      // A retry waits for the whole queue of the rank, not only for what was before the rejected request.
      const emptyAt = expectedStart()
      rejected.push(...hopeless.map(queued => this.reject(queued, emptyAt, tokensPerMs, now)))
    }
    return rejected
  }

  private lowerRank (queued: QueuedEntry): void {
    this.remove(queued.job.key)
    this.insert({ ...queued, gone: false, headStart: 0, rank: yieldPriority(queued.firstRank) })
  }

  private reject ({ job, rank }: QueuedEntry, emptyAt: number, tokensPerMs: number, now: number): RejectedEntry {
    this.remove(job.key)
    this.rejectedRequests.record(job.fingerprint, now)
    return { entry: job, retryAt: Math.min(now + MAX_RETRY_MS, this.rejectedRequests.spaceRetry(rank, emptyAt, job.tokens / tokensPerMs)) }
  }

  private inOrder (rank: number): QueuedEntry[] {
    return [...this.entries.values()].filter(queued => queued.rank === rank).sort((a, b) => a.turn - b.turn || a.sequence - b.sequence)
  }

  /** In strict order: while the next request does not fit, none of those after it is sent. */
  private admit (room: ServerRoom): AdmissionEntry[] {
    const admitted: AdmissionEntry[] = []
    let left = room
    for (;;) {
      const rank = this.ranks.findIndex(jobs => jobs.hasNext())
      const jobs = this.ranks[rank]
      const next = jobs?.takeNext()
      if (jobs === undefined || next === undefined) {
        return admitted
      }
      if (!hasRoomFor(left, next.job)) {
        jobs.putBack(next)
        return admitted
      }
      const { key, tokens, heldTokens } = next.job
      jobs.recordSent(next)
      this.entries.delete(key)
      admitted.push(next.job)
      left = { ...left, backlogTokens: left.backlogTokens + tokens, heldTokens: left.heldTokens + heldTokens, outstanding: left.outstanding + 1 }
    }
  }
}
