/** Serves the log model over HTTP. */
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify'
import { Failure, Verdict, waitUntil, type Clock, type LogEntry } from 'foxtaillever-core'
import type { LogModel } from './logModel.js'

const BODY_LIMIT_BYTES = 16 * 1024 * 1024

function sendFailure (reply: FastifyReply, failure: Failure): void {
  // A lost answer closes the connection: the writer must not learn whether the append took effect.
  if (failure.verdict !== Verdict.NotRun) {
    reply.raw.destroy()
    return
  }
  reply.code(503).send({ code: failure.code, message: failure.message, verdict: failure.verdict })
}

export function createLogServer (model: LogModel, clock: Clock): FastifyInstance {
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  server.post('/log', async (request, reply) => {
    await waitUntil(clock, clock.now() + model.faults.slownessMs)
    model.append(request.body as LogEntry).caseOf({
      Left: failure => sendFailure(reply, failure),
      Right: offset => { reply.send({ offset }) }
    })
    return await reply
  })
  server.get<{ Querystring: { from: string, wait?: string } }>('/log', async (request, reply) => {
    const from = Number(request.query.from)
    await model.waitFor(from, clock.now() + Number(request.query.wait ?? 0))
    await waitUntil(clock, clock.now() + model.faults.slownessMs)
    model.read(from).caseOf({
      Left: failure => sendFailure(reply, failure),
      Right: page => { reply.send(page) }
    })
    return await reply
  })
  server.post('/faults', async (request) => {
    model.setFaults(request.body as object)
    return model.faults
  })
  return server
}
