/** The bare fastify-to-undici pass-through that the router's own cost is measured against. */
import fastify, { type FastifyInstance } from 'fastify'
import { EnginePath } from 'foxtaillever-core'
import { Pool } from 'undici'

const BODY_LIMIT_BYTES = 8 * 1024 * 1024
const MAX_CONNECTIONS = 2048

export function createPassThrough (upstream: string): FastifyInstance {
  const pool = new Pool(`http://${upstream}`, { connections: MAX_CONNECTIONS })
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  server.post(EnginePath.ChatCompletions, async (request, reply) => {
    const answer = await pool.request({
      method: 'POST',
      path: EnginePath.ChatCompletions,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request.body)
    })
    return await reply.code(answer.statusCode).header('content-type', answer.headers['content-type']).send(answer.body)
  })
  server.addHook('onClose', async () => await pool.destroy())
  return server
}
