/** Reads a call that resumes a stream, or says why it is refused. */
import { randomUUID } from 'node:crypto'
import { Failure, FailureCode, type ClientAccount } from 'foxtaillever-core'
import { createTextPrompt } from 'foxtaillever-core/hashPrompt'
import { Left, Right, type Either } from 'purify-ts'
import type { StreamPosition, Submission } from '../core/request.js'
import { readDeadline, type CallContext } from './readSubmission.js'
import type { StreamTokenPayload, StreamTokens } from './streamToken.js'

export interface StreamResumption {
  readonly submission: Submission
  readonly position: StreamPosition
}

export interface StreamResumptionContext extends Pick<CallContext, 'headers' | 'account' | 'configuration' | 'clock'> {
  readonly token: string
  readonly tokens: StreamTokens
}

const LAST_EVENT = 'last-event-id'

/** The number of the last event that the caller has; 0 when it has none. */
function readLastEvent (context: StreamResumptionContext): Either<Failure, number> {
  const text = context.headers[LAST_EVENT] ?? '0'
  const last = Number(text)
  return Number.isSafeInteger(last) && last >= 0
    ? Right(last)
    : Left(Failure.notRun(FailureCode.BadRequest, 'Last-Event-ID must be the number of the last event received.'))
}

/** A forged token and a token of another account get the same answer, which does not reveal what exists. */
function readPayload ({ tokens, token, account }: StreamResumptionContext): Either<Failure, StreamTokenPayload> {
  return tokens.read(token)
    .filter(payload => payload.account === account.name)
    .toEither(Failure.notRun(FailureCode.Forbidden, 'The stream token is not valid for this account.'))
}

function createJob (payload: StreamTokenPayload, account: ClientAccount, now: number, deadline: number): Submission['job'] {
  return {
    id: `${payload.position.requestId}.again.${randomUUID().slice(0, 8)}`,
    account: account.name,
    model: payload.model,
    priority: account.priority,
    // The prompt is not here any more, so it can be sent to no other backend server.
    idempotent: false,
    arrivedAt: now,
    deadline,
    levels: [],
    promptTokens: 0,
    maxTokens: 0,
    fingerprint: ''
  }
}

export function readStreamResumption (context: StreamResumptionContext): Either<Failure, StreamResumption> {
  return readPayload(context).chain(payload =>
    readLastEvent(context).chain(after =>
      readDeadline(context).map(deadline => ({
        position: { ...payload.position, after },
        submission: {
          job: createJob(payload, context.account, context.clock.now(), deadline),
          prompt: createTextPrompt(''),
          path: payload.path,
          body: {},
          idempotencyKey: ''
        }
      }))))
}
