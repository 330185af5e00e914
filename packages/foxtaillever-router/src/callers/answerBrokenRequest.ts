/**
 * Answers input that is not a complete HTTP request: oversized headers, bytes
 * that are not HTTP, senders that are too slow. The HTTP library reports them
 * before any handler runs. Its own answer has no verdict, so a caller could not
 * know whether a retry is safe. Nothing was sent on, so the verdict is "not run".
 */
import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import { CallerHeader, Failure, FailureCode } from 'foxtaillever-core'
import { failureBody } from './failureBody.js'

interface BrokenRequest {
  readonly status: number
  readonly code: FailureCode
  readonly message: string
}

const malformed: BrokenRequest = { status: 400, code: FailureCode.BadRequest, message: 'These bytes are not a request of HTTP.' }

/** Keyed by the error code of the HTTP library. */
const brokenRequests: Record<string, BrokenRequest> = {
  HPE_HEADER_OVERFLOW: { status: 431, code: FailureCode.TooLarge, message: 'The headers are too large.' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, code: FailureCode.BadRequest, message: 'The request took too long to arrive.' }
}

export function answerBrokenRequest (error: Error & { readonly code?: string }, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const { status, code, message } = brokenRequests[error.code ?? ''] ?? malformed
  const failure = Failure.notRun(code, message)
  const body = JSON.stringify(failureBody(failure, ''))
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${CallerHeader.Verdict}: ${failure.verdict}`,
    'connection: close'
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
