/** Calls between instances through which an instance that cannot reach the platform's store uses the lease's log by way of another instance. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Failure, FailureCode, parseJson, Verdict } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { WholeAnswer } from '../servers/callServer.js'
import type { ServerCall } from '../servers/serverConnections.js'
import type { FenceAppend, FenceLog } from '../weights/fenceLog.js'

export const LEASE_PATH = '/lease'

/** Maximum size of a lease record in bytes. A record only names a holder; anything larger is not a record. */
const MAX_RECORD_BYTES = 1000

const OFFSET = 'offset'

type SendCall = (call: ServerCall) => Promise<Either<Failure, WholeAnswer>>

function createCall (method: string, offset: number, body: Buffer): ServerCall {
  return { method, path: `${LEASE_PATH}?${OFFSET}=${offset}`, headers: ['Host', 'peer', 'Content-Length', String(body.length)], body }
}

function read<T> ({ status, body }: WholeAnswer, isWanted: (value: unknown) => value is T): Either<Failure, T> {
  if (status !== 200) {
    return Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, `the other instance answered with status ${status}`))
  }
  return parseJson(body)
    .chain<string, T>(value => isWanted(value) ? Right(value) : Left('an unexpected form'))
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

/** The lease's log, accessed through another instance. The topic is ignored: all instances keep the lease in the same one. */
export function createProxiedLog (send: SendCall): FenceLog {
  return {
    append: async (_, at, record) => (await send(createCall('POST', at, record))).chain(answer => read(answer, isAppend)),
    readAt: async (_, offset) => (await send(createCall('GET', offset, Buffer.alloc(0))))
      .chain(answer => read(answer, isRecord))
      .map(({ record }) => record === null ? undefined : Buffer.from(record, 'base64'))
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_RECORD_BYTES) {
      throw new Error('The record of a lease is too long.')
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Handles such a call of another instance with the log of this instance. Answers 200, or 503 if the store does not answer. */
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
