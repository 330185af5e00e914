/** Calls between instances by which one that the platform's store does not answer reaches the lease's log through another. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { Either, Left, Right } from 'purify-ts'
import type { WholeAnswer } from '../servers/callServer.js'
import type { ServerCall } from '../servers/serverConnections.js'
import type { FenceAppend, FenceLog } from '../weights/fenceLog.js'

export const LEASE_PATH = '/lease'

/** A record names a holder; a body of more is not one, bytes. */
const MOST_RECORD_BYTES = 1000

const OFFSET = 'offset'

type Send = (call: ServerCall) => Promise<Either<Failure, WholeAnswer>>

function callOf (method: string, offset: number, body: Buffer): ServerCall {
  return { method, path: `${LEASE_PATH}?${OFFSET}=${offset}`, headers: ['Host', 'peer', 'Content-Length', String(body.length)], body }
}

function read<T> ({ status, body }: WholeAnswer, isWanted: (value: unknown) => value is T): Either<Failure, T> {
  if (status !== 200) {
    return Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, `the other instance answered with status ${status}`))
  }
  return Either.encase(() => JSON.parse(body.toString()) as unknown)
    .mapLeft(({ message }) => message)
    .chain<string, T>(value => isWanted(value) ? Right(value) : Left('another form'))
    .mapLeft(reason => Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, reason))
}

function isAppend (value: unknown): value is FenceAppend {
  const { isAppended, end } = (value ?? {}) as Partial<FenceAppend>
  return typeof isAppended === 'boolean' && typeof end === 'number'
}

function isRecord (value: unknown): value is { readonly record: string | null } {
  const { record } = (value ?? {}) as { record?: unknown }
  return record === null || typeof record === 'string'
}

/** The log as another instance reaches it; the topic is the one that all keep the lease in. */
export function logThrough (send: Send): FenceLog {
  return {
    append: async (_, at, record) => (await send(callOf('POST', at, record))).chain(answer => read(answer, isAppend)),
    readAt: async (_, offset) => (await send(callOf('GET', offset, Buffer.alloc(0))))
      .chain(answer => read(answer, isRecord))
      .map(({ record }) => record === null ? undefined : Buffer.from(record, 'base64'))
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MOST_RECORD_BYTES) {
      throw new Error('The record of a lease is too long.')
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Carries out such a call of another instance at the log of this one: 200, or 503 where the store does not answer. */
export async function answerLeaseCall (log: FenceLog, topic: string, request: IncomingMessage, search: URLSearchParams, response: ServerResponse): Promise<void> {
  const offset = Number(search.get(OFFSET))
  const body = await readBody(request)
  const answer: Either<Failure, object> = request.method === 'POST'
    ? await log.append(topic, offset, body)
    : (await log.readAt(topic, offset)).map(record => ({ record: record?.toString('base64') ?? null }))
  answer.caseOf({
    Left: ({ message }) => { response.writeHead(503).end(message) },
    Right: value => { response.end(JSON.stringify(value)) }
  })
}
