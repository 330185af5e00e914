/** Serves the kept-cache store over HTTP, and connects to one in another process. */
import fastify, { type FastifyInstance } from 'fastify'
import { Failure, FailureCode, type KeptCache } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { KeptCacheStore, KeptCacheStoreFaults, KeptCacheStoreModel } from './keptCacheStoreModel.js'

const BODY_LIMIT_BYTES = 16 * 1024 * 1024

export function createKeptCacheStoreServer (model: KeptCacheStoreModel): FastifyInstance {
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  server.put<{ Params: { key: string } }>('/kept/:key', async (request, reply) => {
    const stored = await model.put(request.params.key, request.body as KeptCache)
    return stored.caseOf<unknown>({ Left: failure => reply.code(503).send(failure), Right: () => ({}) })
  })
  server.get<{ Params: { key: string } }>('/kept/:key', async (request, reply) => {
    const found = await model.get(request.params.key)
    return found.caseOf<unknown>({ Left: failure => reply.code(404).send(failure), Right: entry => entry })
  })
  server.post('/faults', async (request) => {
    model.setFaults(request.body as Partial<KeptCacheStoreFaults>)
    return model.faults
  })
  return server
}

async function call<Value> (address: string, key: string, init: RequestInit): Promise<Either<Failure, Value>> {
  const response = await fetch(`${address}/kept/${encodeURIComponent(key)}`, init).catch(() => undefined)
  if (response?.ok !== true) {
    return Left(Failure.notRun(FailureCode.BackendServerError, 'The kept-cache store returned no entry.'))
  }
  return Right(await response.json() as Value)
}

export function connectKeptCacheStore (address: string): KeptCacheStore {
  const headers = { 'content-type': 'application/json' }
  return {
    put: async (key, entry) => (await call<object>(address, key, { method: 'PUT', headers, body: JSON.stringify(entry) })).map(() => undefined),
    get: async key => await call<KeptCache>(address, key, {})
  }
}
