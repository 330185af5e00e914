/** Writes a failure to a caller to which nothing of an answer was sent. */
import type { ServerResponse } from 'node:http'
import type { Clock, Failure } from 'foxtaillever-core'
import { failureBody, failureHeaders } from './failureBody.js'
import { statusOf } from './statusOf.js'

export function writeFailure (response: ServerResponse, failure: Failure, requestId: string, clock: Clock): void {
  response.writeHead(statusOf[failure.code], { 'content-type': 'application/json', ...failureHeaders(failure, requestId, clock) })
  response.end(JSON.stringify(failureBody(failure, requestId)))
}
