/**
 * Tells a final answer from a head that is none, before anything in the head is believed.
 * node:http accepts any three digits as a status, and reports a status of 101 like that of a final answer.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'

/** Statuses of final answers (RFC 9110, section 15); informational ones below precede the answer. */
const FIRST_FINAL_STATUS = 200
const LAST_FINAL_STATUS = 599

/** The head of an answer is not that of a final answer in HTTP. */
export class MalformedHeadError extends Error {}

function isFinal ({ statusCode = 0 }: IncomingMessage): boolean {
  return statusCode >= FIRST_FINAL_STATUS && statusCode <= LAST_FINAL_STATUS
}

/** Fails a request with `MalformedHeadError` if the head of its answer is not final or switches protocols; its connection is closed. */
export function rejectMalformedHead (request: ClientRequest): void {
  request.on('response', response => {
    if (!isFinal(response)) {
      request.destroy(new MalformedHeadError(`status ${response.statusCode} is not final`))
    }
  })
  // Without a listener, node:http closes the connection, and the request gets neither an answer nor an error.
  request.on('upgrade', (_, socket) => {
    socket.destroy()
    request.emit('error', new MalformedHeadError('the answer switches protocols'))
  })
}

/** Listens for the final answer to a request that `rejectMalformedHead` checks. */
export function onFinalAnswer (request: ClientRequest, listener: (response: IncomingMessage) => void): void {
  request.on('response', response => {
    if (isFinal(response)) {
      listener(response)
    }
  })
}
