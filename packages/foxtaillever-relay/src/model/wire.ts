/**
 * Interfaces that adapters implement to read and write HTTP headers, towards
 * callers and towards backend servers. Only adapters know the names of headers.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Either } from 'purify-ts'
import type { Exchange, ExchangeHead } from './exchange.js'
import type { ListedServer } from './listedServer.js'
import type { ServerStatement } from './serverStatement.js'

/** What an attempt sends to the backend server in addition to the caller's request. */
export interface SendTerms {
  readonly server: ListedServer
  /** When the server must stop working on the request, milliseconds of Unix time. */
  readonly deadline: number
  readonly priority: number
  /** The request is queued behind those that can still meet their objective. */
  readonly isYielding: boolean
  /** Identity under which the engine may find and keep cached levels; empty for requests without a prompt. */
  readonly cacheSalt: string
  /** Weights that the request must run on; undefined for requests without a prompt. */
  readonly weightsVersion: number | undefined
  /** Address from which the engine may fetch cached levels that it lacks; empty for none. */
  readonly fetchFrom: string
  /** Address to which the engine sends the levels that it has read; empty for none. */
  readonly saveTo: string
  /** Estimated prompt tokens that the server computes rather than finds in its cache. */
  readonly unreadTokens: number
  /** Estimated tokens that the server fetches, as they load the link of the store. */
  readonly fetchedTokens: number
  /** When that transfer must be finished, milliseconds of Unix time. */
  readonly fetchUntil: number
  /** Hash of the shared level that the engine saves with this request; undefined for none. */
  readonly savedLevel: number | undefined
  /** Id of the last event that the caller has received; empty for none. */
  readonly resumeAfter: string
}

/** What the head of an answer says beyond its status and the headers that callers get. */
export interface AnswerMarks {
  /** Id of the request that the answer belongs to; undefined if not stated. */
  readonly requestId: string | undefined
  /** The answer has the backend server's stamp, which proves that it comes from that server. */
  readonly isStamped: boolean
  /** The backend server says that it did not run the request and never will. */
  readonly isNotRun: boolean
  /** Id of the server that answered; undefined if not stated. */
  readonly serverId: string | undefined
  /** Version of the weights that the answer was computed with; undefined if not stated. */
  readonly weightsVersion: number | undefined
  readonly isEventStream: boolean
}

export interface CallerWire {
  /** Left: why the request is malformed. */
  readonly readHead: (message: IncomingMessage) => Either<string, ExchangeHead>
}

/** How the heads of backend servers' answers are read. */
export interface AnswerWire {
  /** Statuses that promise callers that the request has not run and never will. */
  readonly notRunStatuses: ReadonlySet<number>
  readonly readMarks: (status: number, headers: IncomingHttpHeaders) => AnswerMarks
  /** Headers to pass on to the caller, names and values alternating. */
  readonly passHeaders: (rawHeaders: readonly string[]) => string[]
}

export interface ServerWire extends AnswerWire {
  readonly readStatement: (status: number, headers: IncomingHttpHeaders) => ServerStatement
  /** Headers of an attempt, names and values alternating. */
  readonly createHeaders: (exchange: Exchange, terms: SendTerms, now: number) => string[]
}
