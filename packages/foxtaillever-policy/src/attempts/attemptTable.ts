/**
 * The attempts that run at the backend servers. Each step of an answer updates
 * the load and the health of its server.
 */
import { FailureCode, type Failure, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import { MovingMean } from '../collections/movingMean.js'
import { RunningShares } from '../order/runningShares.js'
import type { Placer } from '../placement/placer.js'
import { mayEject } from '../servers/compareServers.js'
import type { ServerTable } from '../servers/serverTable.js'
import { FAILURES_TO_EJECT, Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import type { Attempt } from './attempt.js'

/** Assumed mean time of a request in a server's slot, before the first one has ended, milliseconds. */
const INITIAL_SERVICE_MS = 1000

/** The mean covers about the last fifty requests. */
const SERVICE_GAIN = 0.02

/** Answers with fewer tokens are too short to measure the decode speed. */
const MIN_DECODED_TOKENS = 8

/** A probe has failed when it is this many times later than the peers' answers. */
const PROBE_LATE_RATIO = 2

/** Failures caused by the server, not by the request. */
const serverFaults = new Set([
  FailureCode.ConnectionRefused, FailureCode.ConnectionLost, FailureCode.StreamBroken, FailureCode.BackendServerError
])

export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>()
  /** Running jobs by client account; the dispatcher uses them to limit heavy accounts. */
  readonly shares = RunningShares.create()
  private readonly meanService = MovingMean.create(INITIAL_SERVICE_MS, SERVICE_GAIN)

  private constructor (private readonly fleet: ServerTable, private readonly placer: Placer) {}

  static create (fleet: ServerTable, placer: Placer): AttemptTable {
    return new AttemptTable(fleet, placer)
  }

  get size (): number {
    return this.attempts.size
  }

  /** Mean time of a request in a server's slot, milliseconds. */
  get serviceMs (): number {
    return this.meanService.value
  }

  get (jobId: string): Attempt | undefined {
    return this.attempts.get(jobId)
  }

  addAttempt (attempt: Attempt): void {
    const { server, sentAt, entry } = attempt
    this.attempts.set(entry.job.id, attempt)
    this.shares.addJob(entry)
    server.load.addRequest(attempt.pendingTokens, attempt.reportableTokens, sentAt)
    server.pendingAnswers.set(entry.job.id, { sentAt, expectedMs: attempt.expectedMs })
    server.longRunning += attempt.isLong ? 1 : 0
    server.suspectsRunning += attempt.isSuspect ? 1 : 0
    if (attempt.isProbe) {
      server.health.recordProbe(sentAt)
    }
  }

  recordStart (attempt: Attempt, start: StreamStart, now: number): void {
    const { server, placement } = attempt
    attempt.incarnation = start.incarnation
    attempt.startedAt = now
    this.fleet.applyIncarnation(server, start.incarnation, now)
    const uncached = Math.max(0, start.promptTokens - start.cachedTokens)
    attempt.expectedMs += server.prefillMs(uncached - (attempt.entry.job.promptTokens - placement.cachedTokens))
    this.setPendingTokens(attempt, uncached, uncached, now)
    this.placer.recordCacheHits(placement, start.cachedTokens, now)
  }

  recordFirstToken (attempt: Attempt, now: number): void {
    const { server, placement, entry } = attempt
    attempt.firstTokenAt = now
    server.pendingAnswers.delete(entry.job.id)
    this.setPendingTokens(attempt, 0, 0, now)
    this.placer.endPrefill(entry.job.id, placement)
    this.placer.recordPrefilled(placement.levels, server, now)
    const observedMs = now - attempt.sentAt
    server.health.recordAnswer(observedMs, attempt.expectedMs, now)
    const ratio = (observedMs + server.stepMs()) / (attempt.expectedMs + server.stepMs()) / server.health.peerLatenessRatio
    server.limit.recordFirstToken(ratio, server.load.occupancy(now), now)
    if (attempt.isProbe && server.health.standing === Standing.Ejected) {
      this.applyProbeResult(server, ratio, now)
    }
  }

  recordFinish (attempt: Attempt, end: StreamEnd, now: number): void {
    const { server } = attempt
    this.meanService.add(now - (attempt.startedAt || attempt.sentAt))
    if (attempt.firstTokenAt > 0 && end.completionTokens >= MIN_DECODED_TOKENS) {
      server.health.recordAnswer(now - attempt.firstTokenAt, end.completionTokens * server.stepMs(), now)
    }
    this.removeAttempt(attempt, now)
  }

  /** @param ejectedShare maximum share of the peers ejected at once, 0 to 1. */
  recordFailure (attempt: Attempt, failure: Failure, ejectedShare: number, now: number): void {
    const { server } = attempt
    this.removeAttempt(attempt, now)
    if (failure.code === FailureCode.Leaving) {
      this.fleet.setStatedLeaving(server, true)
    }
    if (failure.code === FailureCode.BackendServerRefused) {
      server.limit.recordRefusal()
    }
    if (serverFaults.has(failure.code)) {
      this.recordServerFault(attempt, ejectedShare, now)
    }
  }

  /** Removes the attempt from the table and from its server's counts. */
  removeAttempt (attempt: Attempt, now: number): void {
    const { server, entry } = attempt
    this.attempts.delete(entry.job.id)
    this.shares.removeJob(entry)
    server.pendingAnswers.delete(entry.job.id)
    this.placer.endPrefill(entry.job.id, attempt.placement)
    this.setPendingTokens(attempt, 0, 0, now)
    server.load.removeRequest(now)
    server.longRunning -= attempt.isLong ? 1 : 0
    server.suspectsRunning -= attempt.isSuspect ? 1 : 0
  }

  private setPendingTokens (attempt: Attempt, pending: number, reportable: number, now: number): void {
    attempt.server.load.adjustTokens(pending - attempt.pendingTokens, reportable - attempt.reportableTokens, now)
    attempt.pendingTokens = pending
    attempt.reportableTokens = reportable
  }

  private applyProbeResult (server: Server, ratio: number, now: number): void {
    if (ratio > PROBE_LATE_RATIO) {
      server.health.eject(this.fleet.instances, now)
      return
    }
    server.health.restore()
    server.markCold(now)
  }

  private recordServerFault ({ server, isProbe }: Attempt, ejectedShare: number, now: number): void {
    const { health } = server
    health.recordFailure()
    if (health.standing === Standing.Ejected) {
      if (isProbe) {
        health.eject(this.fleet.instances, now)
      }
      return
    }
    const peers = this.fleet.peersOf(server)
    if (health.failuresInRow >= FAILURES_TO_EJECT && mayEject(peers, ejectedShare)) {
      health.eject(this.fleet.instances, now)
    }
  }
}
