/**
 * The ways in which a try can fail and what each proves. This table is the only
 * place that says whether a request may have run after a try; the promise "not
 * run" to callers rests on it.
 */
import { FailureCode, Verdict } from 'foxtaillever-core'

export enum AttemptFailureKind {
  /** No connection came about, so no byte left. */
  Unreachable = 'unreachable',
  /** A connection came about, but it was too late to send or no longer allowed. */
  HeldBack = 'held-back',
  /** The server was found to take no requests before the first byte left. */
  Closed = 'closed',
  /** The server said that it did not run the request and never will. */
  Refused = 'refused',
  /** Another server has the address, or the server has other weights; it did not run the request. */
  Misdirected = 'misdirected',
  /** The connection ended before the answer was whole. */
  Lost = 'lost',
  /** An answer came that belongs to another request. */
  Foreign = 'foreign',
  /** Bytes came that are no answer of a backend server. */
  Malformed = 'malformed',
  /** The server neither answered nor closed the connection in time. */
  Silent = 'silent',
  /** The server answered that it failed while running the request. */
  ServerError = 'server-error'
}

interface FailureMeaning {
  readonly verdict: Verdict
  readonly code: FailureCode
  /** Whether it speaks against the health of the server. */
  readonly isServersFault: boolean
  /** Whether the request arrived at a server, and so counts against the retry budget. */
  readonly isArrival: boolean
}

export const meaningOf: Readonly<Record<AttemptFailureKind, FailureMeaning>> = {
  [AttemptFailureKind.Unreachable]: { verdict: Verdict.NotRun, code: FailureCode.ConnectionRefused, isServersFault: true, isArrival: false },
  [AttemptFailureKind.HeldBack]: { verdict: Verdict.NotRun, code: FailureCode.DeadlinePassed, isServersFault: false, isArrival: false },
  [AttemptFailureKind.Closed]: { verdict: Verdict.NotRun, code: FailureCode.NoBackendServer, isServersFault: false, isArrival: false },
  [AttemptFailureKind.Refused]: { verdict: Verdict.NotRun, code: FailureCode.BackendServerRefused, isServersFault: false, isArrival: true },
  [AttemptFailureKind.Misdirected]: { verdict: Verdict.NotRun, code: FailureCode.Stale, isServersFault: false, isArrival: true },
  [AttemptFailureKind.Lost]: { verdict: Verdict.MayHaveRun, code: FailureCode.ConnectionLost, isServersFault: true, isArrival: true },
  [AttemptFailureKind.Foreign]: { verdict: Verdict.MayHaveRun, code: FailureCode.StreamBroken, isServersFault: true, isArrival: true },
  [AttemptFailureKind.Malformed]: { verdict: Verdict.MayHaveRun, code: FailureCode.StreamBroken, isServersFault: true, isArrival: true },
  [AttemptFailureKind.Silent]: { verdict: Verdict.MayHaveRun, code: FailureCode.ConnectionLost, isServersFault: true, isArrival: true },
  [AttemptFailureKind.ServerError]: { verdict: Verdict.Ran, code: FailureCode.BackendServerError, isServersFault: true, isArrival: true }
}

/** Failures that look the same as a crash of the server while it ran the request. */
const crashKinds: ReadonlySet<AttemptFailureKind> = new Set([AttemptFailureKind.Lost, AttemptFailureKind.Silent])

/** Whether the server may have crashed with the request in flight. */
export function mayBeCrash (kind: AttemptFailureKind): boolean {
  return crashKinds.has(kind)
}

/** How a try failed. */
export interface AttemptFailure {
  readonly kind: AttemptFailureKind
  readonly detail: string
  /** The server that says it is not the one meant, or has other weights; undefined when not said. */
  readonly serverId?: string
  /** The connection had served other requests before, and no answer to this one came on it. */
  readonly isOnKeptConnection?: boolean
}

/** What a connection comes to when its server closed it in silence, or sends more answers than it was asked for. */
const spoiltKinds: ReadonlySet<AttemptFailureKind> = new Set([AttemptFailureKind.Lost, AttemptFailureKind.Foreign, AttemptFailureKind.Malformed])

/** Whether the try may have failed for what had happened on its connection before. */
export function spoilsConnections ({ kind, isOnKeptConnection = false }: AttemptFailure): boolean {
  return isOnKeptConnection && spoiltKinds.has(kind)
}
