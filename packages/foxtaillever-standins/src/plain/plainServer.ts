/**
 * A plain service beside the engines: lookups may be repeated, exports must
 * not be.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify'
import { EngineHeader, Verdict, type Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import { PlainModel, type PlainFaults } from './plainModel.js'

export interface PlainServer {
  readonly server: FastifyInstance
  readonly model: PlainModel
  /** Number of runs of each export, by its idempotency key. */
  readonly exports: Map<string, number>
}

function sendFailure (reply: FastifyReply, failure: Failure): FastifyReply {
  if (failure.verdict !== Verdict.NotRun) {
    reply.hijack()
    reply.raw.destroy()
    return reply
  }
  return reply.code(503).header(EngineHeader.Verdict, failure.verdict)
    .send({ error: { code: failure.code, message: failure.message, verdict: failure.verdict } })
}

export function createPlainServer (model = PlainModel.create()): PlainServer {
  const server = fastify({ forceCloseConnections: true })
  const answer = async (reply: FastifyReply, call: () => Either<Failure, object>): Promise<unknown> => {
    await sleep(model.faults.slownessMs)
    return call().caseOf<unknown>({ Left: failure => sendFailure(reply, failure), Right: body => body })
  }
  server.get<{ Params: { id: string } }>('/citations/:id', async (request, reply) => {
    return await answer(reply, () => model.lookUp(request.params.id))
  })
  server.post('/exports', async (request, reply) => {
    return await answer(reply, () => model.export(String(request.headers['idempotency-key'] ?? '')))
  })
  server.post('/faults', async (request) => {
    model.setFaults(request.body as Partial<PlainFaults>)
    return model.faults
  })
  return { server, model, exports: model.exports }
}
