/**
 * The ways in which an attempt can fail and what each proves. Only this table
 * decides whether a request may have run after a failed attempt; the verdict
 * "not run" for callers depends on it.
 */
import { FailureCode, Verdict } from 'foxtaillever-core'

export enum AttemptFailureKind {
  /** No connection was established, so no byte was sent. */
  Unreachable = 'unreachable',
  /** A connection was established, but it was too late to send or no longer allowed. */
  HeldBack = 'held-back',
  /** The server was found to take no requests before the first byte was sent. */
  Closed = 'closed',
  /** The server said that it did not run the request and never will. */
  Refused = 'refused',
  /** Another server has the address, or the server has other weights; it did not run the request. */
  Misdirected = 'misdirected',
  /** The connection ended before the answer was complete. */
  Lost = 'lost',
  /** The answer belongs to another request. */
  Foreign = 'foreign',
  /** The bytes received are not a valid answer of a backend server. */
  Malformed = 'malformed',
  /** The server neither answered nor closed the connection in time. */
  Silent = 'silent',
  /** This instance ended an attempt that had not begun, since its cache salt is no longer valid. */
  Withdrawn = 'withdrawn',
  /** The server answered that it failed while running the request. */
  ServerError = 'server-error'
}

interface FailureMeaning {
  readonly verdict: Verdict
  readonly code: FailureCode
  /** Whether the failure counts against the health of the server. */
  readonly isServerFault: boolean
  /** Whether the request arrived at a server, and so counts against the retry budget. */
  readonly isArrival: boolean
}

export const meaningOf: Readonly<Record<AttemptFailureKind, FailureMeaning>> = {
  [AttemptFailureKind.Unreachable]: { verdict: Verdict.NotRun, code: FailureCode.ConnectionRefused, isServerFault: true, isArrival: false },
  [AttemptFailureKind.HeldBack]: { verdict: Verdict.NotRun, code: FailureCode.DeadlinePassed, isServerFault: false, isArrival: false },
  [AttemptFailureKind.Closed]: { verdict: Verdict.NotRun, code: FailureCode.NoBackendServer, isServerFault: false, isArrival: false },
  [AttemptFailureKind.Refused]: { verdict: Verdict.NotRun, code: FailureCode.BackendServerRefused, isServerFault: false, isArrival: true },
  [AttemptFailureKind.Misdirected]: { verdict: Verdict.NotRun, code: FailureCode.Stale, isServerFault: false, isArrival: true },
  [AttemptFailureKind.Lost]: { verdict: Verdict.MayHaveRun, code: FailureCode.ConnectionLost, isServerFault: true, isArrival: true },
  [AttemptFailureKind.Foreign]: { verdict: Verdict.MayHaveRun, code: FailureCode.StreamBroken, isServerFault: true, isArrival: true },
  [AttemptFailureKind.Malformed]: { verdict: Verdict.MayHaveRun, code: FailureCode.StreamBroken, isServerFault: true, isArrival: true },
  [AttemptFailureKind.Silent]: { verdict: Verdict.MayHaveRun, code: FailureCode.ConnectionLost, isServerFault: true, isArrival: true },
  [AttemptFailureKind.Withdrawn]: { verdict: Verdict.MayHaveRun, code: FailureCode.ConnectionLost, isServerFault: false, isArrival: true },
  [AttemptFailureKind.ServerError]: { verdict: Verdict.Ran, code: FailureCode.BackendServerError, isServerFault: true, isArrival: true }
}

/**
 * Whether the server may have crashed with the request in flight: a process that ends closes its
 * connections. How soon it did says nothing, since a server may crash as soon as it has read a head.
 */
export function mayBeCrash ({ kind }: AttemptFailure): boolean {
  return kind === AttemptFailureKind.Lost
}

/** How an attempt failed. */
export interface AttemptFailure {
  readonly kind: AttemptFailureKind
  readonly detail: string
  /** Id of a server that states that it is not the expected one, or has other weights; undefined when not stated. */
  readonly serverId?: string
  /** Whether the connection had served other requests before, and no answer to this one arrived on it. */
  readonly isOnReusedConnection?: boolean
  /** Time since the first byte of the request was sent, milliseconds. */
  readonly sentForMs?: number
  /** Whether the failure is known to be that of an attempt at the server, also if another instance carried the request. */
  readonly isReported?: boolean
}

/** How attempts fail on a reused connection that the server had closed without notice, or on which it sent surplus answers. */
const staleConnectionKinds: ReadonlySet<AttemptFailureKind> = new Set([AttemptFailureKind.Lost, AttemptFailureKind.Foreign, AttemptFailureKind.Malformed])

/** Whether the attempt may have failed because of what happened on its connection before. */
export function mayBeStaleConnection ({ kind, isOnReusedConnection = false }: AttemptFailure): boolean {
  return isOnReusedConnection && staleConnectionKinds.has(kind)
}
