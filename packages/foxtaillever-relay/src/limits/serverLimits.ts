/**
 * Rate limits that backend servers state for all instances together: learned from
 * answers, told among instances, and held by the protocol of shared limits.
 *
 * The load it answers: a server in need takes an eighth of its usual. Each instance
 * learns of it at another moment and sends it less than one request of the limit,
 * so that only their sum shows that it is too much.
 */
import type { Clock } from 'foxtaillever-core'
import { LimitOutcome, RetryOrder, type LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { StatedLimits, type LimitChange, type StatedLimit } from 'foxtaillever-policy/limits/statedLimits'
import type { Exchange } from '../model/exchange.js'
import { LimitStatementKind } from '../model/limitStatement.js'
import type { ServerStatement } from '../model/serverStatement.js'
import type { LimitNews } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LimitScope } from './limitMessage.js'
import type { LimitKind, LimitProtocol, LimitResult } from './limitProtocol.js'

/**
 * A standby and a reserve may let through a few requests of their own beside the
 * owner: with its rate they stay below one and a half times the limit and five
 * requests in any window.
 */
const TOLERANCE: LimitTolerance = { overage: 0, slack: 4, windowMs: 4000 }

/** Nobody waits longer for a decision, milliseconds: other servers may have room. */
const MOST_WAIT_MS = 100

export const serverLimitKind: LimitKind = { scope: LimitScope.Server, tolerance: TOLERANCE, returnOrder: RetryOrder.FirstCome, mostWaitMs: MOST_WAIT_MS }

/** However little a server takes, it gets so many requests a second: only its answers tell that its need is over. */
const LEAST_PER_S = 0.25

/** A refusal is taken for the server's for so long at most, milliseconds: limits rise, and others give back. */
const MOST_REFUSED_MS = 1000

/** And for so long at least, milliseconds: a bucket that is just empty has room at once, and the clock may stand for a turn. */
const LEAST_REFUSED_MS = 5

/** Where nobody decided, the next request asks again after this, milliseconds. */
const UNDECIDED_MS = 200

/** A limit that falls by more than this part is told at once. */
const URGENT_FALL = 0.3

/** Whether a request may be sent to a server. */
export enum LimitAdmission {
  /** No limit is in force. */
  Free = 'free',
  /** It is counted in the limit. */
  Counted = 'counted',
  Refused = 'refused'
}

export interface ServerLimitsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'ofHash'>
  readonly log: Pick<RelayLog, 'belief' | 'limitUnreadable' | 'sentUnderLimit' | 'serverLimitRefused'>
  readonly protocol: () => Pick<LimitProtocol, 'claim' | 'giveBack'>
  /** A limit began, ended or fell, which the other instances must know now. */
  readonly onUrgent: () => void
}

export class ServerLimits {
  private readonly stated = StatedLimits.create()

  private constructor (private readonly options: ServerLimitsOptions) {}

  static create (options: ServerLimitsOptions): ServerLimits {
    return new ServerLimits(options)
  }

  /**
   * Takes in what an answer states.
   * @param sentAt when its request was sent, milliseconds of Unix time.
   */
  observe (server: KnownServer, { limit, hasRun }: Pick<ServerStatement, 'limit' | 'hasRun'>, sentAt: number): void {
    const { clock, log } = this.options
    switch (limit.kind) {
      case LimitStatementKind.Limit: this.learnHere(server, limit.perSecond, clock.now()); break
      case LimitStatementKind.Unreadable: log.limitUnreadable(server.listed.id, limit.text); break
      case LimitStatementKind.None:
        // A rejection need not repeat the limit.
        if (hasRun) {
          this.learnHere(server, undefined, sentAt)
        }
    }
  }

  /** What another instance tells. */
  hear (news: readonly LimitNews[]): void {
    const { clock, directory } = this.options
    news.forEach(({ server, perSecond, ageMs }) => {
      const known = directory.ofHash(server)
      if (known) {
        this.learn(known, perSecond, clock.now() - ageMs)
      }
    })
  }

  /** What to tell the others. */
  news (): LimitNews[] {
    const { clock, directory } = this.options
    const now = clock.now()
    return this.stated.statementsToAnnounce(now)
      .filter(({ server }) => directory.ofHash(server) !== undefined)
      .map(({ server, perSecond, at }) => ({ server, perSecond, ageMs: now - at }))
  }

  /** Counts a request in the server's limit, and goes on when it is decided. */
  admit (server: KnownServer, exchange: Exchange, go: (admission: LimitAdmission) => void): void {
    const limit = this.stated.limitOf(server.hash)
    if (!limit) {
      go(LimitAdmission.Free)
      return
    }
    const shared = { perSecond: this.limitOf(server) ?? LEAST_PER_S, burst: 0, revision: limit.at }
    this.options.protocol().claim({ key: String(server.hash), limit: shared, cost: 1 }, result => go(this.settle(server, exchange, limit, result)))
  }

  /** What was counted did not reach the server. */
  giveBack ({ hash }: KnownServer): void {
    this.options.protocol().giveBack(String(hash), 1)
  }

  /** Requests a second that the server takes from all instances together; undefined without a limit. */
  limitOf ({ hash }: KnownServer): number | undefined {
    const limit = this.stated.limitOf(hash)
    return limit && Math.max(LEAST_PER_S, limit.perSecond)
  }

  private settle (server: KnownServer, exchange: Exchange, limit: StatedLimit, result: LimitResult): LimitAdmission {
    const { clock, log } = this.options
    const now = clock.now()
    const { id } = server.listed
    if (result.outcome === LimitOutcome.Granted) {
      log.sentUnderLimit(exchange, id, limit, now)
      return LimitAdmission.Counted
    }
    const pauseMs = result.outcome === LimitOutcome.Refused ? Math.min(Math.max(result.retryAt - now, LEAST_REFUSED_MS), MOST_REFUSED_MS) : UNDECIDED_MS
    // The limit may have ended while the decision was on its way.
    server.limitedUntil = this.stated.limitOf(server.hash) ? now + pauseMs : 0
    log.serverLimitRefused(exchange, id, limit, result, now)
    return LimitAdmission.Refused
  }

  private learnHere (server: KnownServer, perSecond: number | undefined, at: number): void {
    const change = this.learn(server, perSecond, at)
    if (change && isUrgent(change)) {
      this.options.onUrgent()
    }
  }

  private learn (server: KnownServer, perSecond: number | undefined, at: number): LimitChange | undefined {
    const change = this.stated.recordStatement(server.hash, perSecond, at)
    if (change) {
      server.limitedUntil = 0
      this.options.log.belief('A backend server states another limit of requests a second.', { server: server.listed.id, perSecond, before: change.before, ageMs: Math.round(this.options.clock.now() - at) })
    }
    return change
  }
}

function isUrgent ({ before, after }: LimitChange): boolean {
  return before === undefined || after === undefined || after < before * (1 - URGENT_FALL)
}
