/** Reads a call that takes up a stream again, or says why it may not. */
import { randomUUID } from 'node:crypto'
import { Failure, FailureCode, type ClientAccount } from 'foxtaillever-core'
import { createTextPrompt } from 'foxtaillever-core/hashPrompt'
import { Left, Right, type Either } from 'purify-ts'
import type { StreamPosition, Submission } from '../core/request.js'
import { readDeadline, type CallContext } from './readSubmission.js'
import type { StreamClaim, StreamTokens } from './streamToken.js'

export interface TakeUp {
  readonly submission: Submission
  readonly position: StreamPosition
}

export interface TakeUpContext extends Pick<CallContext, 'headers' | 'account' | 'configuration' | 'clock'> {
  readonly token: string
  readonly tokens: StreamTokens
}

const LAST_EVENT = 'last-event-id'

/** The number of the last event that the caller has; 0 when it has none. */
function readLastEvent (context: TakeUpContext): Either<Failure, number> {
  const text = context.headers[LAST_EVENT] ?? '0'
  const last = Number(text)
  return Number.isSafeInteger(last) && last >= 0
    ? Right(last)
    : Left(Failure.notRun(FailureCode.BadRequest, 'Last-Event-ID must be the number of the last event received.'))
}

/** The same answer for a forged token and for another account's: neither tells what exists. */
function readClaim ({ tokens, token, account }: TakeUpContext): Either<Failure, StreamClaim> {
  return tokens.read(token)
    .filter(claim => claim.account === account.name)
    .toEither(Failure.notRun(FailureCode.Forbidden, 'The stream token is not valid for this account.'))
}

function createJob (claim: StreamClaim, account: ClientAccount, now: number, deadline: number): Submission['job'] {
  return {
    id: `${claim.position.requestId}.again.${randomUUID().slice(0, 8)}`,
    account: account.name,
    model: claim.model,
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

export function readTakeUp (context: TakeUpContext): Either<Failure, TakeUp> {
  return readClaim(context).chain(claim =>
    readLastEvent(context).chain(after =>
      readDeadline(context).map(deadline => ({
        position: { ...claim.position, after },
        submission: {
          job: createJob(claim, context.account, context.clock.now(), deadline),
          prompt: createTextPrompt(''),
          path: claim.path,
          body: {},
          idempotencyKey: ''
        }
      }))))
}
