/** One attempt to run a job at one backend server. */
import type { WaitingJob } from '../order/waitingJob.js'
import type { Placement } from '../placement/placer.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'

export interface AttemptOptions {
  readonly entry: WaitingJob
  readonly placement: Placement
  readonly isLong: boolean
  readonly isSuspect: boolean
  /** Milliseconds of Unix time. */
  readonly sentAt: number
}

export class Attempt {
  readonly entry: WaitingJob
  readonly server: Server
  readonly placement: Placement
  /** Milliseconds of Unix time. */
  readonly sentAt: number
  readonly isLong: boolean
  readonly isSuspect: boolean
  /** The server is ejected, and this attempt shows whether it has recovered. */
  readonly isProbe: boolean
  /** Incarnation of the engine that runs the attempt; until it has begun, the one known when it was sent. */
  incarnation: string
  /** Expected time to first token, milliseconds; corrected once the engine has begun. */
  expectedMs: number
  /** Uncached prompt tokens that the attempt adds to the server's queue. */
  pendingTokens: number
  /** Tokens that the attempt adds to the queue as the engine reports it. */
  reportableTokens: number
  /** When the engine gave it a slot, milliseconds of Unix time; 0 before. */
  startedAt = 0
  /** Milliseconds of Unix time; 0 before. */
  firstTokenAt = 0

  private constructor ({ entry, placement, isLong, isSuspect, sentAt }: AttemptOptions) {
    this.entry = entry
    this.placement = placement
    this.server = placement.server
    this.sentAt = sentAt
    this.isLong = isLong
    this.isSuspect = isSuspect
    this.isProbe = placement.server.health.standing === Standing.Ejected
    this.incarnation = placement.server.incarnation
    this.expectedMs = placement.expectedMs
    this.pendingTokens = entry.job.promptTokens - placement.cachedTokens
    this.reportableTokens = entry.job.promptTokens
  }

  static create (options: AttemptOptions): Attempt {
    return new Attempt(options)
  }
}
