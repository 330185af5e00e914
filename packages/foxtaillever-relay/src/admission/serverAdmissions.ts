/**
 * Admissions at one backend server, as its owner decides them: the queue, the
 * admissions that no load report contains yet, and the decisions of the last moment,
 * which a requester may ask for again.
 */
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { AdmissionQueue, type AdmissionEntry } from 'foxtaillever-policy/relay/admissionQueue'
import type { ServerRoom } from 'foxtaillever-policy/relay/serverRoom'
import { BacklogEstimate } from 'foxtaillever-policy/relay/backlogEstimate'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import { AdmissionOutcome } from './admissionMessage.js'

/** What the server can take, apart from its current load. */
export interface ServerCapacity extends Omit<ServerRoom, 'backlogTokens' | 'heldTokens' | 'outstanding'> {
  /** The server fails if it gets more than it has slots for. */
  readonly isBrittle: boolean
}

/** Identifies a request in the fleet. */
export interface RequestId {
  readonly address: string
  readonly number: number
}

export interface Decision {
  readonly outcome: AdmissionOutcome
  /** When there will be room for a rejected request, milliseconds of Unix time. */
  readonly retryAt: number
  readonly backlogMs: number
}

export interface RequestDecision extends Decision {
  readonly id: RequestId
}

/**
 * Time in which an admitted request appears in a load report, milliseconds: a datagram
 * to the requester, the longest interval between its reports, 25, and a datagram back,
 * with some tens for busy event loops.
 */
const UNREPORTED_MS = 60

/** The same for a brittle server: longer than a busy instance or owner stands still, so that an admission is not forgotten before it is reported. */
const BRITTLE_UNREPORTED_MS = 250

/** How long a decision is remembered, milliseconds: a requester that lost the response renews within 250, or a second time. */
const REMEMBERED_MS = 600
const MAX_REMEMBERED = 1024

/** Entries of one queue; a further request is rejected. Prompts that take a tenth of an objective of 400 ms fill ten seconds. */
export const MAX_QUEUED = 256

/** The state is dropped this long after the last request or decision, milliseconds: the queue remembers rejected requests that long. */
const IDLE_MS = 5000

interface UnreportedAdmission {
  readonly address: string
  readonly tokens: number
  readonly heldTokens: number
  /** Milliseconds of Unix time. */
  readonly admittedAt: number
  /** Counts until then, milliseconds of Unix time. */
  readonly until: number
}

interface RememberedDecision extends Decision {
  /** Milliseconds of Unix time. */
  readonly until: number
}

function keyOf ({ address, number }: RequestId): string {
  return `${address} ${number}`
}

export class ServerAdmissions {
  private readonly queue = AdmissionQueue.create()
  private readonly estimate = BacklogEstimate.create()
  /** Requesters of the queued entries, by key. */
  private readonly queuedIds = new Map<string, RequestId>()
  /** By key, the oldest first. */
  private readonly unreported = new Map<string, UnreportedAdmission>()
  private readonly decided = RecentMap.create<RememberedDecision>(MAX_REMEMBERED)
  private usedAt: number

  private constructor (private load: ServerLoad, now: number) {
    this.usedAt = now
    this.recordBacklog(now)
  }

  static create (load: ServerLoad, now: number): ServerAdmissions {
    return new ServerAdmissions(load, now)
  }

  get size (): number {
    return this.queue.size
  }

  isIdle (now: number): boolean {
    return this.queue.size === 0 && this.usedAt + IDLE_MS <= now
  }

  queuedTokens (priority: number, account?: string): number {
    return this.queue.queuedTokens(priority, account)
  }

  /** The decision on a request that was made a moment ago. */
  decisionOn (id: RequestId, now: number): Decision | undefined {
    const decision = this.decided.peek(keyOf(id))
    return decision && decision.until > now ? decision : undefined
  }

  /** Adds a request, or renews it; returns whether there was room in the queue. */
  add (id: RequestId, entry: Omit<AdmissionEntry, 'key'>, now: number): boolean {
    const key = keyOf(id)
    this.usedAt = now
    if (!this.queue.has(key) && this.queue.size >= MAX_QUEUED) {
      return false
    }
    this.queue.add({ key, ...entry }, now)
    this.queuedIds.set(key, id)
    return true
  }

  /** The requester does not use the admission, or no longer waits for one. */
  cancel (id: RequestId, now: number): void {
    const key = keyOf(id)
    this.queue.remove(key)
    this.queuedIds.delete(key)
    if (this.unreported.delete(key)) {
      this.recordBacklog(now)
    }
    const decision = this.decided.peek(key)
    if (decision) {
      this.decided.set(key, { ...decision, until: now })
    }
  }

  /**
   * Records the load of the server after a report.
   * @param added by how many the reporter's outstanding requests rose; as many of its oldest admissions are contained in the report.
   */
  recordLoad (load: ServerLoad, reporter: string, added: number, now: number): void {
    let contained = added
    for (const [key, { address, admittedAt }] of this.unreported) {
      if (address === reporter && (contained > 0 || admittedAt + UNREPORTED_MS <= now)) {
        // A request that ended before the report is in no count of it.
        this.unreported.delete(key)
        contained -= 1
      }
    }
    this.load = load
    this.recordBacklog(now)
  }

  /** Takes the requests that are admitted or rejected now out of the queue, in order. */
  decide (load: ServerLoad, capacity: ServerCapacity, now: number): RequestDecision[] {
    this.load = load
    this.removeOverdue(now)
    const room = this.roomAt(capacity, now)
    const { admitted, rejected } = this.queue.decide(room, now)
    const backlogMs = room.backlogTokens / room.tokensPerMs
    const unreportedUntil = now + (capacity.isBrittle ? BRITTLE_UNREPORTED_MS : UNREPORTED_MS)
    const decisions = [
      ...rejected.map(({ entry, retryAt }) => this.settle(entry, { outcome: AdmissionOutcome.Rejected, retryAt, backlogMs }, now, unreportedUntil)),
      ...admitted.map(entry => this.settle(entry, { outcome: AdmissionOutcome.Admitted, retryAt: now, backlogMs }, now, unreportedUntil))
    ]
    this.queuedIds.forEach((_, key) => {
      if (!this.queue.has(key)) {
        this.queuedIds.delete(key)
      }
    })
    return decisions
  }

  /** When to decide again without a report, milliseconds of Unix time; Infinity while nothing is queued. */
  nextDecisionAt (capacity: ServerCapacity, now: number): number {
    if (this.queue.size === 0) {
      return Infinity
    }
    const [oldest] = this.unreported.values()
    return Math.min(this.queue.nextDecisionAt(this.roomAt(capacity, now), now), oldest?.until ?? Infinity)
  }

  /** Time that the server needs to read what it has, milliseconds. */
  backlogMs (capacity: ServerCapacity, now: number): number {
    return this.estimate.tokensAt(capacity.tokensPerMs, now) / capacity.tokensPerMs
  }

  private roomAt (capacity: ServerCapacity, now: number): ServerRoom {
    const { outstanding, heldTokens } = this.total()
    return { ...capacity, outstanding, heldTokens, backlogTokens: this.estimate.tokensAt(capacity.tokensPerMs, now) }
  }

  /** Load of all reports and of the admissions that they do not contain. */
  private total (): ServerLoad {
    let { outstanding, tokens, heldTokens } = this.load
    for (const admission of this.unreported.values()) {
      outstanding += 1
      tokens += admission.tokens
      heldTokens += admission.heldTokens
    }
    return { outstanding, tokens, heldTokens }
  }

  private recordBacklog (now: number): void {
    this.estimate.record(this.total().tokens, now)
  }

  /** Admissions that appear in no report were not sent, or have ended. */
  private removeOverdue (now: number): void {
    this.unreported.forEach(({ until }, key) => {
      if (until <= now) {
        this.unreported.delete(key)
      }
    })
    this.recordBacklog(now)
  }

  private settle ({ key, tokens, heldTokens }: AdmissionEntry, decision: Decision, now: number, unreportedUntil: number): RequestDecision {
    const id = this.queuedIds.get(key) as RequestId
    this.queuedIds.delete(key)
    this.usedAt = now
    this.decided.set(key, { ...decision, until: now + REMEMBERED_MS })
    if (decision.outcome === AdmissionOutcome.Admitted) {
      this.unreported.set(key, { address: id.address, tokens, heldTokens, admittedAt: now, until: unreportedUntil })
      this.recordBacklog(now)
    }
    return { ...decision, id }
  }
}
