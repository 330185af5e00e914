/** Sends one call of the plain service, a lookup or an export, exactly once. */
import { CallerHeader } from 'foxtaillever-core'
import { request } from 'undici'
import { AnswerState, type Answer } from './answer.js'
import { ArrivalKind, type Arrival } from './arrival.js'
import { arrivalOf, createExportKey } from './exportKey.js'
import type { Sending } from './sending.js'

const SERVICE_PATH = '/services/records'
const STATUS_OK = 200

interface PlainBody {
  readonly citation?: string
  readonly exported?: string
  readonly error?: { readonly code: string, readonly verdict: string }
}

async function call (sending: Sending, arrival: Arrival): Promise<{ status: number, body: PlainBody }> {
  const isExport = arrival.kind === ArrivalKind.Export
  const answer = await request(`${sending.address}${SERVICE_PATH}${isExport ? '/exports' : `/citations/${arrival.id}`}`, {
    dispatcher: sending.dispatcher,
    method: isExport ? 'POST' : 'GET',
    headers: {
      [CallerHeader.Authorization]: `Bearer ${sending.key}`,
      [CallerHeader.RequestId]: arrival.id,
      ...(isExport ? { 'content-type': 'application/json', [CallerHeader.IdempotencyKey]: createExportKey(arrival.id, Date.now()) } : {})
    },
    ...(isExport ? { body: '{}' } : {})
  })
  return { status: answer.statusCode, body: await answer.body.json() as PlainBody }
}

export async function sendPlain (sending: Sending, arrival: Arrival, intendedAt: number): Promise<Answer> {
  const sentAt = performance.now()
  const { status, body } = await call(sending, arrival).catch(() => ({ status: 0, body: {} as PlainBody }))
  const isOwn = body.citation === arrival.id || arrivalOf(body.exported ?? '') === arrival.id
  const states: Record<number, AnswerState> = { 0: AnswerState.Cut, [STATUS_OK]: isOwn ? AnswerState.Complete : AnswerState.Wrong }
  return {
    arrival,
    state: states[status] ?? AnswerState.Refused,
    status,
    code: body.error?.code ?? '',
    verdict: body.error?.verdict ?? '',
    firstTokenMs: undefined,
    totalMs: performance.now() - intendedAt + arrival.clientDelayMs,
    betweenTokensMs: undefined,
    lateMs: sentAt - intendedAt - arrival.clientDelayMs,
    promptTokens: 0,
    cachedTokens: 0
  }
}
