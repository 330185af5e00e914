/**
 * Headers by which one instance asks another to send a request to a backend server,
 * and by which the other one reports what its attempt proved. Apart from them the call
 * between instances is the request as the server gets it, and the server's answer.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { AttemptFailureKind, type AttemptFailure } from '../attempts/attemptFailure.js'
import type { RequestCauses } from '../crashes/lostRequests.js'

const REQUEST_HEADER = 'foxtaillever-forward'
const RESULT_HEADER = 'foxtaillever-result'

/** Path of a call that asks an instance to probe a server. */
export const PROBE_PATH = '/probe'

/** Value of the result header of a server's answer. */
const ANSWERED = 'answered'

/** Status of an answer that only reports a failure. */
export const FAILURE_STATUS = 502

/** What the instance that carries a request needs to know of it. */
export interface ForwardedRequest {
  readonly requestId: string
  readonly causes: RequestCauses
}

export interface ForwardingRequest extends ForwardedRequest {
  /** Hash of the server's incarnation. */
  readonly server: number
  /** Address of the instance that asks. */
  readonly from: string
}

export function forwardingHeaders ({ server, from, requestId, causes: { request, account, levels } }: ForwardingRequest): string[] {
  const fields = new URLSearchParams({ server: String(server), from, id: requestId, request, account })
  levels.forEach(level => fields.append('level', level))
  return [REQUEST_HEADER, fields.toString()]
}

/** Undefined for a call that asks for something else. */
export function readForwarding (headers: IncomingHttpHeaders): ForwardingRequest | undefined {
  const text = headers[REQUEST_HEADER]
  if (typeof text !== 'string') {
    return undefined
  }
  const fields = new URLSearchParams(text)
  const textOf = (name: string): string => fields.get(name) ?? ''
  return { server: Number(fields.get('server')), from: textOf('from'), requestId: textOf('id'), causes: { request: textOf('request'), account: textOf('account'), levels: fields.getAll('level') } }
}

export const answeredHeaders: readonly string[] = [RESULT_HEADER, ANSWERED]

export function failureHeaders ({ kind, detail, serverId }: AttemptFailure): string[] {
  return [RESULT_HEADER, new URLSearchParams({ kind, detail, ...(serverId === undefined ? {} : { serverId }) }).toString()]
}

const kinds = new Set<string>(Object.values(AttemptFailureKind))

/** The failure that an answer of another instance reports; undefined if the answer is the server's. */
export function readReportedFailure (headers: IncomingHttpHeaders): AttemptFailure | undefined {
  const text = headers[RESULT_HEADER]
  if (text === ANSWERED) {
    return undefined
  }
  const fields = new URLSearchParams(typeof text === 'string' ? text : '')
  const kind = fields.get('kind') ?? ''
  // An instance of a release without forwarding answers by itself and sends nothing on.
  return kinds.has(kind)
    ? { kind: kind as AttemptFailureKind, detail: fields.get('detail') ?? '', isReported: true, ...(fields.has('serverId') ? { serverId: String(fields.get('serverId')) } : {}) }
    : { kind: AttemptFailureKind.Unreachable, detail: 'the other instance forwards nothing' }
}

/** Removes the headers of this protocol. Raw headers alternate names and values. */
export function omitForwarding (rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => {
    const name = (rawHeaders[index - index % 2] ?? '').toLowerCase()
    return name !== REQUEST_HEADER && name !== RESULT_HEADER
  })
}
