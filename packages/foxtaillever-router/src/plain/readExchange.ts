/** Reads a caller's request as an exchange of the relay core. */
import { randomUUID } from 'node:crypto'
import type { FastifyRequest } from 'fastify'
import { CallerHeader, type ClientAccount, type Clock } from 'foxtaillever-core'
import type { Exchange, ExchangeHead } from 'foxtaillever-relay/model/exchange'
import type { MatchedCall } from './matchCall.js'
import { routeOf } from './plainRoutes.js'
import { forwardedHeaders } from './plainWire.js'

/** Request ids of callers that are safe to write to the log. */
const REQUEST_ID = /^[\w.-]{1,128}$/

const noBody = Buffer.alloc(0)

export function readHead ({ headers, method, url }: FastifyRequest): ExchangeHead {
  const given = String(headers[CallerHeader.RequestId] ?? '')
  return {
    id: REQUEST_ID.test(given) ? given : randomUUID(),
    method,
    path: url,
    host: '',
    headers: forwardedHeaders(headers),
    apiKey: undefined,
    patienceMs: undefined,
    prompt: undefined,
    resumeAfter: '',
    resumedId: ''
  }
}

/** When the caller stops waiting, milliseconds of Unix time; Infinity when it does not say. */
function readCallerDeadline ({ headers }: FastifyRequest, now: number): number {
  const requested = [Number(headers[CallerHeader.Deadline]), now + Number(headers[CallerHeader.Timeout])]
  return Math.min(...requested.filter(Number.isFinite), Infinity)
}

export function readExchange (head: ExchangeHead, request: FastifyRequest, call: MatchedCall, { name }: ClientAccount, clock: Clock): Exchange {
  const arrivedAt = clock.now()
  const callerDeadline = readCallerDeadline(request, arrivedAt)
  return {
    ...head,
    path: call.path,
    route: routeOf(call),
    service: call.service.name,
    account: { name, apiKeys: [], priority: undefined, isIsolated: false, quota: undefined },
    body: Buffer.isBuffer(request.body) ? request.body : noBody,
    arrivedAt,
    callerDeadline,
    deadline: Math.min(callerDeadline, arrivedAt + call.service.timeoutMs)
  }
}
