/**
 * Rate limits that backend servers state for all instances together: learned from
 * answers, announced among instances, and enforced by the protocol of shared limits.
 *
 * It handles an overloaded server that accepts an eighth of its usual load. The
 * instances learn of this at different moments, and each sends less than one request
 * of the limit, so only the sum over all instances shows that the limit is exceeded.
 */
import type { Clock } from 'foxtaillever-core'
import { LimitOutcome, RetryOrder, type LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import type { LimitChange, StatedLimit } from 'foxtaillever-policy/limits/statedLimits'
import type { Exchange } from '../model/exchange.js'
import type { ServerStatement } from '../model/serverStatement.js'
import type { LimitUpdate } from '../peers/peerMessage.js'
import { AnnouncedStatements } from '../servers/announcedStatements.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LimitScope } from './limitMessage.js'
import type { LimitKind, LimitProtocol, LimitResult } from './limitProtocol.js'

/**
 * The standby and the reserve may admit a few requests in addition to the owner's:
 * together they stay below one and a half times the limit plus five requests
 * in any window.
 */
const TOLERANCE: LimitTolerance = { overage: 0, slack: 4, windowMs: 4000 }

/** Longest wait for a decision, milliseconds: other servers may have room. */
const MAX_WAIT_MS = 100

export const serverLimitKind: LimitKind = { scope: LimitScope.Server, tolerance: TOLERANCE, retryOrder: RetryOrder.FirstCome, maxWaitMs: MAX_WAIT_MS }

/** A server gets at least this many requests a second, however low its limit: only its answers show that the limit has ended. */
const MIN_PER_S = 0.25

/** Longest time for which a refusal blocks the server here, milliseconds: limits rise, and other instances refund claims. */
const MAX_REFUSED_MS = 1000

/** Shortest time for which a refusal blocks the server here, milliseconds: a bucket that has just run empty has room at once, and the clock may not advance within a turn of the event loop. */
const MIN_REFUSED_MS = 5

/** If no instance decided, the server is blocked here for this long, milliseconds; then the next request claims again. */
const UNDECIDED_RETRY_MS = 200

/** A limit that falls by more than this share is announced at once. */
const URGENT_DECREASE = 0.3

/** Whether a request may be sent to a server. */
export enum LimitAdmission {
  /** No limit is in force. */
  Free = 'free',
  /** The request is counted against the limit. */
  Counted = 'counted',
  Refused = 'refused'
}

export interface ServerLimitsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'getByHash'>
  readonly log: Pick<RelayLog, 'belief' | 'limitUnreadable' | 'sentUnderLimit' | 'serverLimitRefused'>
  readonly protocol: () => Pick<LimitProtocol, 'claim' | 'refund'>
  /** A limit began, ended or fell far; the other instances must learn of it now. */
  readonly onUrgent: () => void
}

export class ServerLimits {
  private readonly stated: AnnouncedStatements

  private constructor (private readonly options: ServerLimitsOptions) {
    const { clock, log, onUrgent } = options
    this.stated = AnnouncedStatements.create({
      ...options,
      onChanged: (server, change, isOwn, at) => {
        server.limitedUntil = 0
        log.belief('A backend server states another limit of requests a second.', { server: server.listed.id, perSecond: change.after, before: change.before, ageMs: Math.round(clock.now() - at) })
        if (isOwn && isUrgent(change)) {
          onUrgent()
        }
      }
    })
  }

  static create (options: ServerLimitsOptions): ServerLimits {
    return new ServerLimits(options)
  }

  /**
   * Applies what an answer states about the server's limit.
   * @param sentAt when its request was sent, milliseconds of Unix time.
   */
  applyStatement (server: KnownServer, { limit, hasRun }: Pick<ServerStatement, 'limit' | 'hasRun'>, sentAt: number): void {
    this.stated.apply(server, limit, hasRun, sentAt)
  }

  /** Applies updates of another instance. */
  applyUpdates (updates: readonly LimitUpdate[]): void {
    this.stated.applyUpdates(updates)
  }

  /** Updates to send to the other instances. */
  updates (): LimitUpdate[] {
    return this.stated.updates()
  }

  /** Counts a request against the server's limit; calls back when decided. */
  admit (server: KnownServer, exchange: Exchange, onDecided: (admission: LimitAdmission) => void): void {
    const limit = this.stated.of(server.hash)
    if (!limit) {
      onDecided(LimitAdmission.Free)
      return
    }
    const shared = { perSecond: this.limitOf(server) ?? MIN_PER_S, burst: 0, revision: limit.at }
    this.options.protocol().claim({ key: String(server.hash), limit: shared, cost: 1 }, result => onDecided(this.applyResult(server, exchange, limit, result)))
  }

  /** Returns the cost of a counted request that did not reach the server. */
  refund ({ hash }: KnownServer): void {
    this.options.protocol().refund(String(hash), 1)
  }

  /** Requests a second that the server accepts from all instances together; undefined without a limit. */
  limitOf ({ hash }: KnownServer): number | undefined {
    const limit = this.stated.of(hash)
    return limit && Math.max(MIN_PER_S, limit.perSecond)
  }

  private applyResult (server: KnownServer, exchange: Exchange, limit: StatedLimit, result: LimitResult): LimitAdmission {
    const { clock, log } = this.options
    const now = clock.now()
    const { id } = server.listed
    if (result.outcome === LimitOutcome.Granted) {
      log.sentUnderLimit(exchange, id, limit, now)
      return LimitAdmission.Counted
    }
    const pauseMs = result.outcome === LimitOutcome.Refused ? Math.min(Math.max(result.retryAt - now, MIN_REFUSED_MS), MAX_REFUSED_MS) : UNDECIDED_RETRY_MS
    // The limit may have ended before the decision arrived.
    server.limitedUntil = this.stated.of(server.hash) ? now + pauseMs : 0
    log.serverLimitRefused(exchange, id, limit, result, now)
    return LimitAdmission.Refused
  }
}

function isUrgent ({ before, after }: LimitChange): boolean {
  return before === undefined || after === undefined || after < before * (1 - URGENT_DECREASE)
}
