/** Records what a failed attempt shows about its server, for all exchanges of the instance. */
import { AttemptFailureKind, meaningOf, mayBeCrash, mayBeStaleConnection, type AttemptFailure } from '../attempts/attemptFailure.js'
import { Suspicion } from '../links/linkCheck.js'
import { causesOf } from '../crashes/lostRequests.js'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'

export interface FailedAttempt {
  readonly server: KnownServer
  /** Address of the instance that carried the request; undefined for none. */
  readonly forwarder: string | undefined
  /** Milliseconds of Unix time. */
  readonly beganAt: number
}

/** Failures that this instance's own links may explain. */
const suspicionOf: Partial<Record<AttemptFailureKind, Suspicion>> = {
  [AttemptFailureKind.Unreachable]: Suspicion.Unreachable,
  [AttemptFailureKind.Lost]: Suspicion.Unresponsive,
  [AttemptFailureKind.Silent]: Suspicion.Unresponsive
}

/** @param answeredAt when the head of the answer arrived, milliseconds of Unix time; undefined if it did not. */
export function recordAttemptFailure (context: ExchangeContext, exchange: Exchange, attempt: FailedAttempt | undefined, failure: AttemptFailure, answeredAt?: number): void {
  const { clock, log, directory } = context
  const { verdict } = meaningOf[failure.kind]
  log.attemptFailed(exchange, attempt?.server.listed, failure, verdict, { serverAt: attempt?.server.heardAt ?? 0, anyServerAt: directory.heardAt, now: clock.now(), forwarder: attempt?.forwarder, answeredAt })
  if (!attempt) {
    return
  }
  if (attempt.forwarder === undefined) {
    recordDirectFailure(context, exchange, attempt, failure, answeredAt)
  } else {
    recordForwardedFailure(context, exchange, attempt.server, attempt.forwarder, failure, answeredAt !== undefined)
  }
}

function recordDirectFailure (context: ExchangeContext, exchange: Exchange, { server, beganAt }: FailedAttempt, failure: AttemptFailure, answeredAt: number | undefined): void {
  const { clock, directory, paths, crashes, onUnreachable } = context
  const lostAt = clock.now()
  if (failure.kind === AttemptFailureKind.Lost) {
    directory.recordBroken(server)
  }
  const { brokenAt } = server
  const suspicion = suspicionOf[failure.kind]
  if (suspicion === undefined) {
    recordServerFailure(context, exchange, server, failure)
    return
  }
  if (failure.kind === AttemptFailureKind.Unreachable && !paths.isBroken(server)) {
    directory.observations.recordUnreachable(server, clock.now())
  }
  paths.suspect(server, suspicion, beganAt, {
    onServerAtFault: () => {
      recordServerFailure(context, exchange, server, failure)
      if (failure.kind === AttemptFailureKind.Unreachable) {
        onUnreachable(server)
      }
    },
    onNotReached: () => {
      if (mayBeCrash(failure)) {
        crashes.recordLoss(causesOf(exchange), { service: exchange.service, server: server.hash, sentAt: beganAt, brokenAt, lostAt, answeredAt, hasEnded: server.refusedConnectionAt >= brokenAt })
      }
    }
  })
}

/** Only what the other instance reports says anything about the server. */
function recordForwardedFailure (context: ExchangeContext, exchange: Exchange, server: KnownServer, forwarder: string, failure: AttemptFailure, hasBegun: boolean): void {
  const { clock, directory, paths } = context
  // An answer that breaks off does not say at whom; an instance that has ended refuses its next connection.
  const isOfNeither = failure.kind === AttemptFailureKind.Withdrawn || (failure.kind === AttemptFailureKind.Lost && hasBegun)
  if (isOfNeither) {
    return
  }
  if (failure.isReported === true && meaningOf[failure.kind].isArrival) {
    recordServerFailure(context, exchange, server, failure)
    return
  }
  paths.recordForwarderFailure(forwarder)
  if (failure.isReported === true && failure.kind === AttemptFailureKind.Unreachable) {
    directory.observations.recordUnreachable(server, clock.now())
  }
}

/** Records a failure that is the server's. */
function recordServerFailure ({ clock, directory, onRejected }: ExchangeContext, exchange: Exchange, server: KnownServer, failure: AttemptFailure): void {
  const now = clock.now()
  const { id } = server.listed
  if (meaningOf[failure.kind].isServerFault) {
    directory.observations.recordFault(server, now)
  }
  if (failure.kind === AttemptFailureKind.Misdirected && failure.serverId !== undefined && failure.serverId !== id) {
    directory.observations.recordDisplaced(server, now)
  }
  if (failure.kind === AttemptFailureKind.Refused) {
    // The server is full, or about to change its weights.
    server.refusedAt = now
    onRejected(server)
  }
  if (mayBeStaleConnection(failure)) {
    directory.observations.distrustIdleConnections(exchange.service, now)
  }
}
