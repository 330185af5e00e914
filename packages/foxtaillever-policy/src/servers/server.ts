/**
 * One backend server as an entity: what is configured, what was observed, what
 * this instance has running there.
 */
import { AdministrativeState, hashNumber, type BackendServer } from 'foxtaillever-core'
import { Retention } from '../placement/retention.js'
import { ConcurrencyLimit } from './concurrencyLimit.js'
import { ServerHealth } from './serverHealth.js'
import { ServerLoad } from './serverLoad.js'

/** A restarted engine is filled up to its full share in this time. */
const SLOW_START_MS = 10_000

/** Share of its room that a cold server gets at once; enough to warm it by real work. */
const COLD_SHARE = 0.25

/** Share of the slots that long requests may take, so that a short one finds one free. */
const LONG_SHARE = 0.75

/** Share of the slots kept for priority work while there is any. */
const PRIORITY_SHARE = 0.125

/**
 * Room with the engine's own queue beside priority work. Without any queue there
 * slots stand empty between two requests: a quarter less is answered at twice
 * the capacity. With one of half the slots the priority work behind it comes
 * half as late again.
 */
const SHORT_QUEUE = 1.25

/** Share of the slots kept from accounts that run more than twice their share. */
const LIGHT_SHARE = 0.375

/** One request without its first token yet. */
export interface PendingAnswer {
  readonly sentAt: number
  readonly expectedMs: number
}

/** The room without the share, but never nothing. */
function keepFree (room: number, share: number): number {
  return Math.max(1, room - Math.ceil(room * share))
}

export class Server {
  readonly hash: number
  readonly load = ServerLoad.create()
  readonly health = ServerHealth.create()
  readonly limit: ConcurrencyLimit
  readonly retention = Retention.create()
  /** Requests without first token, oldest first. */
  readonly pending = new Map<string, PendingAnswer>()
  /** Mean occupancy of its slots. */
  fullness = 0
  /** Milliseconds of Unix time; 0 before the first report. */
  fullnessAt = 0
  /** Its weight in the ranking of homes, as a factor to its slots. */
  homeFactor = 1
  incarnation = ''
  /** No longer configured; what still runs there holds on to the entity. */
  removed = false
  /** The instance list's word, which lags. */
  listedLeaving = false
  /** The server's own word; a lagging list does not undo it. */
  saidLeaving = false
  longRunning = 0
  suspectsRunning = 0
  /** Requests of this pass that would rather wait for this server. */
  held = 0
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
    return this.listedLeaving || this.saidLeaving
  }

  get homeWeight (): number {
    return this.configured.slots * this.homeFactor
  }

  /** Whether new work for the model may go there. */
  isReadyFor (model: string): boolean {
    return !this.removed && !this.leaving &&
      this.configured.state === AdministrativeState.InService &&
      this.configured.models.includes(model)
  }

  configure (configured: BackendServer): void {
    this.configured = configured
    this.limit.resize(configured.slots)
  }

  /** The engine came back empty, or has just been put in service. */
  markCold (now: number): void {
    this.coldSince = now
  }

  /** From the cold share up to 1. */
  warmth (now: number): number {
    return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * (now - this.coldSince) / SLOW_START_MS)
  }

  /** Requests it may have at once, as this instance sees it. */
  room (now: number): number {
    return Math.max(1, Math.floor(this.limit.value * this.warmth(now)))
  }

  /** Room for work that is not of the priority class while there is such. */
  roomBesidePriority (now: number): number {
    const room = this.room(now)
    return Math.max(1, room * SHORT_QUEUE - Math.ceil(room * PRIORITY_SHARE))
  }

  /** Room for accounts that run more than twice their share. */
  roomForHeavy (now: number): number {
    return keepFree(this.room(now), LIGHT_SHARE)
  }

  longRoom (): number {
    return Math.max(1, Math.floor(this.configured.slots * LONG_SHARE))
  }

  /** Time that the given tokens take to prefill here, milliseconds. */
  prefillMs (tokens: number): number {
    return tokens / Math.max(1, this.configured.prefillTokensPerSecond) * 1000
  }

  /** Time of one decode step, milliseconds; a first token waits for the step that runs. */
  stepMs (): number {
    return 1000 / Math.max(1, this.configured.decodeTokensPerSecond)
  }
}
