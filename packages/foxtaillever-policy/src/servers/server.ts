/**
 * One backend server: its configuration, what was observed of it, and what this
 * instance has running on it.
 */
import { AdministrativeState, hashNumber, type BackendServer } from 'foxtaillever-core'
import { Retention } from '../placement/retention.js'
import { ConcurrencyLimit } from './concurrencyLimit.js'
import { ServerHealth } from './serverHealth.js'
import { ServerLoad } from './serverLoad.js'

/** Time over which a restarted engine gets its full share of work. */
const SLOW_START_MS = 10_000

/** Share of its room that a cold server gets at first; enough to warm its cache by real work. */
const COLD_SHARE = 0.25

/** Share of the slots that long jobs may use, so that a short one finds a free slot. */
const LONG_SHARE = 0.75

/** Share of the slots reserved for priority work while there is any. */
const PRIORITY_SHARE = 0.125

/**
 * Factor on the room for other work beside priority work, which allows a short
 * queue in the engine. Without a queue, slots stay empty between two requests,
 * and at twice the capacity a quarter fewer requests are answered. A queue of
 * half the slots makes the priority work behind it half as late again.
 */
const SHORT_QUEUE_FACTOR = 1.25

/** Share of the slots closed to accounts that run more than twice their share. */
const LIGHT_ACCOUNTS_SHARE = 0.375

/** One request that has no first token yet. */
export interface PendingAnswer {
  readonly sentAt: number
  readonly expectedMs: number
}

/** The room reduced by the share, but at least 1. */
function roomWithoutShare (room: number, share: number): number {
  return Math.max(1, room - Math.ceil(room * share))
}

export class Server {
  readonly hash: number
  readonly load = ServerLoad.create()
  readonly health = ServerHealth.create()
  readonly limit: ConcurrencyLimit
  readonly retention = Retention.create()
  /** Requests without a first token, oldest first. */
  readonly pendingAnswers = new Map<string, PendingAnswer>()
  /** Mean occupancy of the slots. */
  fullness = 0
  /** Milliseconds of Unix time; 0 before the first report. */
  fullnessAt = 0
  /** Factor on the slots that gives the weight in the ranking of homes. */
  homeFactor = 1
  incarnation = ''
  /** No longer configured; requests that still run there keep using this object. */
  isRemoved = false
  /** The instance list has the server as leaving; the list lags. */
  isListedLeaving = false
  /** The server itself stated that it is leaving; a lagging list does not override this. */
  hasStatedLeaving = false
  longRunning = 0
  suspectsRunning = 0
  /** Jobs of the current dispatch pass that are held for this server. */
  heldJobs = 0
  private coldSince = -Infinity

  private constructor (public configured: BackendServer) {
    this.hash = hashNumber(configured.name)
    this.limit = ConcurrencyLimit.create(configured.slots)
  }

  static create (configured: BackendServer): Server {
    return new Server(configured)
  }

  get name (): string {
    return this.configured.name
  }

  get leaving (): boolean {
    return this.isListedLeaving || this.hasStatedLeaving
  }

  get homeWeight (): number {
    return this.configured.slots * this.homeFactor
  }

  /** Whether new work for the model may go there. */
  isReadyFor (model: string): boolean {
    return !this.isRemoved && !this.leaving &&
      this.configured.state === AdministrativeState.InService &&
      this.configured.models.includes(model)
  }

  configure (configured: BackendServer): void {
    this.configured = configured
    this.limit.resize(configured.slots)
  }

  /** Called when the engine has restarted empty or was just put in service. */
  markCold (now: number): void {
    this.coldSince = now
  }

  /** Share of its room that the server gets, from the cold share up to 1. */
  warmth (now: number): number {
    return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * (now - this.coldSince) / SLOW_START_MS)
  }

  /** Concurrent requests that the server may have, as this instance sees it. */
  room (now: number): number {
    return Math.max(1, Math.floor(this.limit.value * this.warmth(now)))
  }

  /** Room for work of other classes while there is priority work. */
  roomBesidePriority (now: number): number {
    const room = this.room(now)
    return Math.max(1, room * SHORT_QUEUE_FACTOR - Math.ceil(room * PRIORITY_SHARE))
  }

  /** Room for accounts that run more than twice their share. */
  roomForHeavyAccounts (now: number): number {
    return roomWithoutShare(this.room(now), LIGHT_ACCOUNTS_SHARE)
  }

  roomForLongJobs (): number {
    return Math.max(1, Math.floor(this.configured.slots * LONG_SHARE))
  }

  /** Time that this server needs to prefill the tokens, milliseconds. */
  prefillMs (tokens: number): number {
    return tokens / Math.max(1, this.configured.prefillTokensPerSecond) * 1000
  }

  /** Time of one decode step, milliseconds; a first token waits for the current step. */
  stepMs (): number {
    return 1000 / Math.max(1, this.configured.decodeTokensPerSecond)
  }
}
