/**
 * The narrow interfaces to the wire on both sides. An adapter implements them;
 * nothing else knows a header's name.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Either } from 'purify-ts'
import type { Exchange, ExchangeHead } from './exchange.js'
import type { ListedServer } from './listedServer.js'
import type { ServerStatement } from './serverStatement.js'

/** What a try tells the backend server besides the caller's request. */
export interface SendTerms {
  readonly server: ListedServer
  /** When the server is to stop working on it, milliseconds of Unix time. */
  readonly deadline: number
  readonly priority: number
  /** It goes behind requests that can still be in time. */
  readonly isYielding: boolean
  /** Identity under which the engine may find and keep cached levels; empty for requests without a prompt. */
  readonly cacheSalt: string
  /** Weights that the request must run on; undefined for requests without a prompt. */
  readonly weightsVersion: number | undefined
  /** Address from which the engine may fetch cached levels that it lacks; empty for none. */
  readonly fetchFrom: string
  /** Address to which the engine sends the levels that it has read; empty for none. */
  readonly saveTo: string
  /** Prompt tokens that the server is likely to read rather than find. */
  readonly unreadTokens: number
  /** Tokens that the server is likely to fetch, as the link of the store feels them. */
  readonly fetchedTokens: number
  /** When that transfer must be through, milliseconds of Unix time. */
  readonly fetchUntil: number
  /** Hash of the shared level that is saved with it; undefined for none. */
  readonly savedLevel: number | undefined
  /** The last event that the caller has; empty for none. */
  readonly resumeAfter: string
}

/** What an answer's head says, besides status and headers. */
export interface AnswerMarks {
  /** Id of the request that the answer belongs to; undefined when not said. */
  readonly requestId: string | undefined
  /** The backend server's proof that the answer is its own. */
  readonly isStamped: boolean
  /** The backend server says that it did not run the request and never will. */
  readonly isNotRun: boolean
  /** Id of the server that answered; undefined when not said. */
  readonly serverId: string | undefined
  /** Weights the answer was made with; undefined when not said. */
  readonly weightsVersion: number | undefined
  readonly isEventStream: boolean
}

export interface CallerWire {
  /** Left: why the request is malformed. */
  readonly readHead: (message: IncomingMessage) => Either<string, ExchangeHead>
}

/** How answers of backend servers are read. */
export interface AnswerWire {
  /** Statuses that callers read as the promise that the request has not run and never will. */
  readonly notRunStatuses: ReadonlySet<number>
  readonly readMarks: (status: number, headers: IncomingHttpHeaders) => AnswerMarks
  /** Headers to pass on to the caller, names and values in turn. */
  readonly passHeaders: (rawHeaders: readonly string[]) => string[]
}

export interface ServerWire extends AnswerWire {
  readonly readStatement: (status: number, headers: IncomingHttpHeaders) => ServerStatement
  /** Headers of a try, names and values in turn. */
  readonly createHeaders: (exchange: Exchange, terms: SendTerms, now: number) => string[]
}
