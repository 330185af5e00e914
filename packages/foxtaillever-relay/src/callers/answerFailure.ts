/** Sends a failure to a caller: status, verdict, and when to retry. */
import { STATUS_CODES, type ServerResponse } from 'node:http'
import { FailureCode, Verdict, type Failure } from 'foxtaillever-core'

const statusOfCode: Partial<Record<FailureCode, number>> = {
  [FailureCode.BadRequest]: 400,
  [FailureCode.Unauthenticated]: 401,
  [FailureCode.UnknownRoute]: 404,
  [FailureCode.TooLarge]: 413,
  [FailureCode.AccountOverLimit]: 429
}

/** Promises callers that the request has not run and never will. */
const NOT_RUN_STATUS = 503
/** These two statuses promise nothing. */
const DEADLINE_STATUS = 504
const MAY_HAVE_RUN_STATUS = 502

export function statusOf ({ code, verdict }: Failure): number {
  const status = statusOfCode[code]
  if (status !== undefined) {
    return status
  }
  if (verdict === Verdict.NotRun) {
    return NOT_RUN_STATUS
  }
  return code === FailureCode.DeadlinePassed ? DEADLINE_STATUS : MAY_HAVE_RUN_STATUS
}

/** Rounded up to hundredths of a second: a retry before that time is rejected again, and a time of 0 would promise room at once. */
function retryAfterOf (retryAt: number, now: number): string {
  return (Math.max(1, Math.ceil((retryAt - now) / 10)) / 100).toFixed(2)
}

/** Headers and body of the answer that tells a caller of a failure. */
function renderFailure (failure: Failure, now: number): { readonly headers: readonly string[], readonly body: Buffer } {
  const body = Buffer.from(JSON.stringify({ error: { code: failure.code, verdict: failure.verdict, message: failure.message } }))
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
  if (failure.retryAt !== undefined && failure.verdict === Verdict.NotRun) {
    headers.push('Retry-After', retryAfterOf(failure.retryAt, now))
  }
  return { headers, body }
}

export function answerFailure (response: ServerResponse, failure: Failure, now: number): void {
  const { headers, body } = renderFailure(failure, now)
  response.writeHead(statusOf(failure), [...headers])
  response.end(body)
}

/** Statuses for bytes that are no request, by the code of the error; as node:http has them. */
const statusOfUnreadable: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408
}

const BAD_REQUEST = 400

/** The bytes of the answer to what is no request, or no whole one in time. */
export function renderUnreadable ({ code = '' }: NodeJS.ErrnoException): string {
  const status = statusOfUnreadable[code] ?? BAD_REQUEST
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`
}

/** The bytes of an answer that is the last one on its connection. */
export function renderLastAnswer (failure: Failure, now: number): Buffer {
  const status = statusOf(failure)
  const { headers, body } = renderFailure(failure, now)
  const lines = headers.map((text, index) => index % 2 === 0 ? `${text}: ` : `${text}\r\n`).join('')
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${lines}Connection: close\r\n\r\n`), body])
}
