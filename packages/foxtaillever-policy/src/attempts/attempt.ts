/** One job at one backend server. */
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
  /** The server is set aside, and this tells whether it has recovered. */
  readonly isProbe: boolean
  /** Of the engine that runs it, or that was there when it was sent. */
  incarnation: string
  /** Expected time to first token, milliseconds; corrected once the engine has begun. */
  expectedMs: number
  /** What it adds to the server's queue, tokens. */
  pendingTokens: number
  /** The same as the engine reports it. */
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
