/**
 * A plain service beside the engines: lookups that may be repeated and exports
 * that may not. It counts what ran, so that a test can see a doubled export.
 */
import fastify, { type FastifyInstance } from 'fastify'

export interface PlainServer {
  readonly server: FastifyInstance
  /** Runs by idempotency key of the export. */
  readonly exports: Map<string, number>
}

export function createPlainServer (): PlainServer {
  const server = fastify({ forceCloseConnections: true })
  const exports = new Map<string, number>()
  server.get<{ Params: { id: string } }>('/citations/:id', async (request) => ({ citation: request.params.id }))
  server.post('/exports', async (request) => {
    const key = String(request.headers['idempotency-key'] ?? '')
    exports.set(key, (exports.get(key) ?? 0) + 1)
    return { exported: key }
  })
  return { server, exports }
}
