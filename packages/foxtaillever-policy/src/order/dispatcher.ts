/**
 * Goes through the waiting jobs in fair order and sends those for which using a
 * server now is better than waiting.
 *
 * A job whose home is full is held while the wait there costs less than repeating
 * its prefill on another server; the jobs behind it may go to other servers
 * first. Otherwise, at full load, each free slot would take the next job whatever
 * the server has cached, and the hit rate would fall to that of round robin just
 * when capacity is scarce. A stored deadline bounds each hold, and the number of
 * skipped jobs is bounded, so the fair order holds and no pass takes long.
 */
import { PriorityClass, type Preset } from 'foxtaillever-core'
import { DecayingRate } from '../collections/decayingRate.js'
import { MovingMean } from '../collections/movingMean.js'
import type { Placement, Placer } from '../placement/placer.js'
import type { ServerTable } from '../servers/serverTable.js'
import type { Server } from '../servers/server.js'
import { Suspicion, type SuspectTable } from '../suspects/suspectTable.js'
import type { RunningShares } from './runningShares.js'
import type { WaitingJob } from './waitingJob.js'
import type { WaitingJobs } from './waitingJobs.js'

/** Jobs skipped in one pass at most; bounds the cost of a pass. */
const MAX_SKIPPED_JOBS = 32

/** A job that costs this many times the mean is long. */
const LONG_COST_FACTOR = 4

/** The mean covers about the last hundred jobs. */
const MEAN_GAIN = 0.01

/**
 * Factor on the room that is used without holding a job. All instances see the
 * engine's queue in its reports, while a job held here is visible to no other
 * instance.
 */
const ENGINE_QUEUE_FACTOR = 1.5

/**
 * Once its hold is over, a job may enter the engine's own queue, up to this many
 * times the room. Jobs of other instances may have taken each slot that it waited
 * for; the engine's queue is shared by all instances.
 */
const OVERCOMMIT_FACTOR = 2

/** Up to this utilisation there are enough slots for every account. */
const CROWDED_UTILISATION = 0.6

/** A hold lasts at most this many times the expected wait. */
const MAX_HOLD_FACTOR = 2

/** A hold lasts at most this share of the time left. */
const MAX_HOLD_SHARE = 0.25

/** Slots are reserved for priority work while there was some within about this time. */
const PRIORITY_DECAY_MS = 10_000

/** Minimum hold, about one pass of the event loop, milliseconds. */
const MIN_HOLD_MS = 20

export interface DispatchInput {
  readonly preset: Preset
  readonly weightsVersionOf: (model: string) => string
  readonly serviceMs: number
  readonly now: number
}

export interface DispatchedJob {
  readonly entry: WaitingJob
  readonly placement: Placement
  readonly isLong: boolean
  readonly isSuspect: boolean
}

export interface DispatcherOptions {
  readonly fleet: ServerTable
  readonly placer: Placer
  readonly waitingJobs: WaitingJobs
  readonly suspects: SuspectTable
  readonly shares: RunningShares
  /** Sends the job at once, so that the next job is scored with its load included. */
  readonly send: (dispatched: DispatchedJob, now: number) => void
  readonly refuseQuarantined: (entry: WaitingJob) => void
}

interface RoomInput {
  readonly isPriority: boolean
  /** A request of the priority class was sent within the last seconds. */
  readonly hasRecentPriorityJobs: boolean
  /** The job's account runs more than twice its share. */
  readonly isHeavy: boolean
  readonly overdueMs: number
  readonly now: number
}

/** The job is sent to the server only while the server has fewer requests than this. */
function roomFor (server: Server, { isPriority, hasRecentPriorityJobs, isHeavy, overdueMs, now }: RoomInput): number {
  if (isPriority) {
    // The engine runs priority requests before all others in its queue.
    return server.room(now) * OVERCOMMIT_FACTOR
  }
  if (isHeavy) {
    return server.roomForHeavyAccounts(now)
  }
  if (hasRecentPriorityJobs) {
    return server.roomBesidePriority(now)
  }
  return server.room(now) * (overdueMs === 0 ? ENGINE_QUEUE_FACTOR : OVERCOMMIT_FACTOR)
}

export class Dispatcher {
  private readonly meanCost = MovingMean.create(0, MEAN_GAIN)
  /** Servers for which jobs are held in this pass. */
  private readonly awaitedServers = new Set<Server>()
  /** Index of the server where room was found last; usually it still has room. */
  private lastOpenIndex = 0
  private readonly recentPriorityJobs = DecayingRate.create(PRIORITY_DECAY_MS)

  private constructor (private readonly options: DispatcherOptions) {}

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  dispatchJobs (input: DispatchInput): void {
    const { waitingJobs, suspects } = this.options
    let skipped = 0
    while (skipped < MAX_SKIPPED_JOBS && this.hasRoom(input.now)) {
      const entry = waitingJobs.queue.takeNext()
      if (!entry) {
        break
      }
      const suspicion = suspects.suspicionOf(entry.job.fingerprint, input.now)
      if (suspicion === Suspicion.Quarantined) {
        this.options.refuseQuarantined(entry)
      } else if (!this.sendOrHold(entry, suspicion === Suspicion.Suspect, input)) {
        waitingJobs.queue.skip(entry)
        skipped += 1
      }
    }
    waitingJobs.queue.endPass()
    this.awaitedServers.forEach(server => { server.heldJobs = 0 })
    this.awaitedServers.clear()
  }

  /** Whether any server could take one more request now. */
  private hasRoom (now: number): boolean {
    const servers = this.options.fleet.list()
    for (let step = 0; step < servers.length; step += 1) {
      const index = (this.lastOpenIndex + step) % servers.length
      const server = servers[index] as Server
      if (server.load.occupancy(now) < server.room(now) * OVERCOMMIT_FACTOR) {
        this.lastOpenIndex = index
        return true
      }
    }
    return false
  }

  private sendOrHold (entry: WaitingJob, isSuspect: boolean, input: DispatchInput): boolean {
    const { now } = input
    const isLong = this.isLong(entry)
    const overdueMs = Math.max(0, now - entry.holdUntil)
    const isHeavy = this.options.fleet.utilisation > CROWDED_UTILISATION && this.options.shares.isHeavy(entry)
    const room = { now, overdueMs, isHeavy, isPriority: entry.job.priority === PriorityClass.Priority, hasRecentPriorityJobs: this.hasRecentPriorityJobs(now) }
    const placement = this.options.placer.place(input.preset.placement, {
      job: entry.job,
      weightsVersion: input.weightsVersionOf(entry.job.model),
      failedAt: entry.failedAt,
      isSuspect,
      isEligible: server => !(isLong && server.longRunning >= server.roomForLongJobs()) && !(isSuspect && server.suspectsRunning > 0),
      hasRoom: server => server.load.occupancy(now) < roomFor(server, room),
      overdueMs,
      serviceMs: input.serviceMs,
      recomputationWeight: input.preset.recomputationWeight,
      now
    })
    if (!placement) {
      return false
    }
    if (placement.isHeld) {
      this.holdJob(entry, placement, now)
      return false
    }
    this.meanCost.add(entry.cost)
    if (entry.job.priority === PriorityClass.Priority) {
      this.recentPriorityJobs.add(1, now)
    }
    this.options.send({ entry, placement, isLong, isSuspect }, now)
    return true
  }

  private holdJob (entry: WaitingJob, placement: Placement, now: number): void {
    placement.server.heldJobs += 1
    this.awaitedServers.add(placement.server)
    if (entry.holdUntil === Infinity) {
      const maxHoldMs = (entry.latestStart - now) * MAX_HOLD_SHARE
      entry.holdUntil = now + Math.min(maxHoldMs, MIN_HOLD_MS + MAX_HOLD_FACTOR * placement.waitMs)
    }
  }

  private isLong ({ cost }: WaitingJob): boolean {
    return this.meanCost.sampleCount > 0 && cost > LONG_COST_FACTOR * this.meanCost.value
  }

  /** Whether a request of the priority class was sent within the last seconds. */
  private hasRecentPriorityJobs (now: number): boolean {
    return this.recentPriorityJobs.value(now) * PRIORITY_DECAY_MS > Math.exp(-1)
  }
}
