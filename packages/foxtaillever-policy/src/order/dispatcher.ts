/**
 * Goes through the waiting jobs in order and sends those for which a server is
 * open and better than waiting.
 *
 * A job whose home is full is held back while the wait there costs less than
 * doing its prefill again elsewhere; the jobs behind it go first to other
 * servers. Without that, at full load each slot that frees up takes the next
 * job whatever it has cached, and the hit rate falls to that of round robin
 * just when capacity is scarce. The holding is bounded by a stored deadline and
 * by how many are looked at, so no order is overturned and no pass is long.
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
import type { WaitingRoom } from './waitingRoom.js'

/** Jobs held back at most while others are looked at; bounds the cost of a pass. */
const WINDOW = 32

/** A job this many times the mean is long. */
const LONG_FACTOR = 4

/** The mean is over the last hundred jobs or so. */
const MEAN_GAIN = 0.01

/**
 * Room beyond the slots that is used at once. The engine's queue is seen by all
 * instances in its reports, while a job held back here is seen by none.
 */
const ENGINE_QUEUE = 1.5

/**
 * Once its hold is over a job may stand in the engine's own queue, up to this
 * many times the room. Other instances' jobs may have taken each slot that it
 * waited for; the engine's queue is the one that all of them share.
 */
const OVERCOMMIT = 2

/** Below this share of all slots taken there are slots enough for every account. */
const CROWDED = 0.6

/** Held at most for this many times the wait that was expected. */
const HOLD_FACTOR = 2

/** And for this share of the time left. */
const HOLD_SHARE = 0.25

/** Slots are kept for priority work while there was some within about this time. */
const PRIORITY_FADE_MS = 10_000

/** Shortest hold, about one pass of events, milliseconds. */
const LEAST_HOLD_MS = 20

export interface DispatchInput {
  readonly preset: Preset
  readonly weightsVersionOf: (model: string) => string
  readonly serviceMs: number
  readonly now: number
}

export interface Dispatched {
  readonly entry: WaitingJob
  readonly placement: Placement
  readonly isLong: boolean
  readonly isSuspect: boolean
}

export interface DispatcherOptions {
  readonly fleet: ServerTable
  readonly placer: Placer
  readonly room: WaitingRoom
  readonly suspects: SuspectTable
  readonly shares: RunningShares
  /** Sends the job, so that the next one is weighed against what it adds. */
  readonly send: (dispatched: Dispatched, now: number) => void
  readonly quarantine: (entry: WaitingJob) => void
}

interface RoomInput {
  readonly isPriority: boolean
  /** A request of the priority class came within the last seconds. */
  readonly hasPriorityWork: boolean
  /** Its account runs more than twice its share. */
  readonly isHeavy: boolean
  readonly overdueMs: number
  readonly now: number
}

/** Requests that the server may have for this job to be sent there. */
function roomFor (server: Server, { isPriority, hasPriorityWork, isHeavy, overdueMs, now }: RoomInput): number {
  if (isPriority) {
    // The engine takes it before all that waits there.
    return server.room(now) * OVERCOMMIT
  }
  if (isHeavy) {
    return server.roomForHeavyAccounts(now)
  }
  if (hasPriorityWork) {
    return server.roomBesidePriority(now)
  }
  return server.room(now) * (overdueMs === 0 ? ENGINE_QUEUE : OVERCOMMIT)
}

export class Dispatcher {
  private readonly meanCost = MovingMean.create(0, MEAN_GAIN)
  /** Servers that jobs of this pass wait for. */
  private readonly heldFor = new Set<Server>()
  /** Where a server with room was found last; mostly it still has some. */
  private cursor = 0
  private readonly priorityWork = DecayingRate.create(PRIORITY_FADE_MS)

  private constructor (private readonly options: DispatcherOptions) {}

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  run (input: DispatchInput): void {
    const { room, suspects } = this.options
    let skipped = 0
    while (skipped < WINDOW && this.hasRoom(input.now)) {
      const entry = room.queue.next()
      if (!entry) {
        break
      }
      const suspicion = suspects.suspicionOf(entry.job.fingerprint, input.now)
      if (suspicion === Suspicion.Quarantined) {
        this.options.quarantine(entry)
      } else if (!this.tryToSend(entry, suspicion === Suspicion.Suspect, input)) {
        room.queue.skip(entry)
        skipped += 1
      }
    }
    room.queue.endPass()
    this.heldFor.forEach(server => { server.heldJobs = 0 })
    this.heldFor.clear()
  }

  /** Whether any server could take one more request now. */
  private hasRoom (now: number): boolean {
    const servers = this.options.fleet.list()
    for (let step = 0; step < servers.length; step += 1) {
      const index = (this.cursor + step) % servers.length
      const server = servers[index] as Server
      if (server.load.occupancy(now) < server.room(now) * OVERCOMMIT) {
        this.cursor = index
        return true
      }
    }
    return false
  }

  private tryToSend (entry: WaitingJob, isSuspect: boolean, input: DispatchInput): boolean {
    const { now } = input
    const isLong = this.isLong(entry)
    const overdueMs = Math.max(0, now - entry.holdUntil)
    const isHeavy = this.options.fleet.utilisation > CROWDED && this.options.shares.isHeavy(entry)
    const room = { now, overdueMs, isHeavy, isPriority: entry.job.priority === PriorityClass.Priority, hasPriorityWork: this.hasPriorityWork(now) }
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
      this.hold(entry, placement, now)
      return false
    }
    this.meanCost.add(entry.cost)
    if (entry.job.priority === PriorityClass.Priority) {
      this.priorityWork.add(1, now)
    }
    this.options.send({ entry, placement, isLong, isSuspect }, now)
    return true
  }

  private hold (entry: WaitingJob, placement: Placement, now: number): void {
    placement.server.heldJobs += 1
    this.heldFor.add(placement.server)
    if (entry.holdUntil === Infinity) {
      const longest = (entry.latestStart - now) * HOLD_SHARE
      entry.holdUntil = now + Math.min(longest, LEAST_HOLD_MS + HOLD_FACTOR * placement.waitMs)
    }
  }

  private isLong ({ cost }: WaitingJob): boolean {
    return this.meanCost.samples > 0 && cost > LONG_FACTOR * this.meanCost.value
  }

  /** Whether a request of the priority class came within the last seconds. */
  private hasPriorityWork (now: number): boolean {
    return this.priorityWork.value(now) * PRIORITY_FADE_MS > Math.exp(-1)
  }
}
