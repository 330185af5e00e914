/** What a backend server states of itself in the head of an answer, whatever the answer is about. */
import type { Either } from 'purify-ts'
import type { LimitStatement } from './limitStatement.js'

export interface ServerStatement {
  /** Id of the server that answered; undefined when not said. */
  readonly serverId: string | undefined
  /** Id of the request that the answer belongs to; undefined when not said. */
  readonly requestId: string | undefined
  /** The answer is to a request that the server took on. */
  readonly hasRun: boolean
  /** It will end soon and must get no new work. */
  readonly isLeaving: boolean
  /** It wants nothing from this instance for so long, milliseconds; 0 when it asks for no rest. Left: a text that is no time. */
  readonly restMs: Either<string, number>
  /** The rate that it takes from all instances together. */
  readonly limit: LimitStatement
}
