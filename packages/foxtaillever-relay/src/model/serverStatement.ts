/** What a backend server states about itself in the head of an answer, regardless of the request. */
import type { Either } from 'purify-ts'
import type { LimitStatement } from './limitStatement.js'

export interface ServerStatement {
  /** Id of the server that answered; undefined if not stated. */
  readonly serverId: string | undefined
  /** Id of the request that the answer belongs to; undefined if not stated. */
  readonly requestId: string | undefined
  /** The answer is to a request that the server accepted. */
  readonly hasRun: boolean
  /** The server will end soon and must get no new work. */
  readonly isLeaving: boolean
  /** Backoff that the server requests from this instance, milliseconds; 0 for none. Left: a text that is not a duration. */
  readonly restMs: Either<string, number>
  /** The rate that the server accepts from all instances together. */
  readonly limit: LimitStatement
  /** Requests a second that the server can reject for want of room; it fails if it must reject more. */
  readonly maxRejections: LimitStatement
}
