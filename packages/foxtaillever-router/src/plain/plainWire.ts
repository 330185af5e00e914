/**
 * The protocol between the router and plain services: ordinary HTTP. A few
 * headers of the caller are forwarded to the service, and a few of the service
 * are returned to the caller. Services do not know this router, so an answer
 * needs no stamp; only the connection says which call it belongs to.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { CallerHeader, EngineHeader, Verdict } from 'foxtaillever-core'
import { noLimit } from 'foxtaillever-relay/model/limitStatement'
import { readRetryAfter } from 'foxtaillever-relay/model/retryAfter'
import type { AnswerMarks, ServerWire } from 'foxtaillever-relay/model/wire'

/** Headers of the caller that are forwarded to the service, besides the request's id. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', CallerHeader.IdempotencyKey]

/** Headers of the service that are returned to the caller. */
const returnedHeaders = new Set(['content-type', 'content-length', 'content-disposition', 'etag', 'last-modified', 'cache-control'])

/** Methods whose requests have no body unless the caller sent one. */
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE'])

/** Alternating names and values. */
export function forwardedHeaders (headers: IncomingHttpHeaders): string[] {
  return FORWARDED_HEADERS.flatMap(name => {
    const value = headers[name]
    return typeof value === 'string' ? [name, value] : []
  })
}

function selectReturnedHeaders (rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => returnedHeaders.has((rawHeaders[index - index % 2] ?? '').toLowerCase()))
}

function readMarks (_status: number, headers: IncomingHttpHeaders): AnswerMarks {
  return {
    requestId: undefined,
    isStamped: true,
    isNotRun: headers[EngineHeader.Verdict] === Verdict.NotRun,
    serverId: undefined,
    weightsVersion: undefined,
    isEventStream: false
  }
}

export const plainWire: ServerWire = {
  // Callers rely on the verdict, so a service's own "busy" status is an answer like any other.
  notRunStatuses: new Set(),
  createHeaders: ({ id, method, headers, body }, { server }) => {
    const length = body.length === 0 && bodilessMethods.has(method) ? [] : ['content-length', String(body.length)]
    return ['host', server.address, CallerHeader.RequestId, id, ...headers, ...length]
  },
  readMarks,
  readStatement: (status, headers) => ({
    serverId: undefined,
    requestId: undefined,
    hasRun: headers[EngineHeader.Verdict] !== Verdict.NotRun,
    isLeaving: false,
    restMs: readRetryAfter(status, headers['retry-after']),
    limit: noLimit,
    maxRejections: noLimit
  }),
  passHeaders: selectReturnedHeaders
}
