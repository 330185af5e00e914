/** Serves the instance list over HTTP. */
import fastify, { type FastifyInstance } from 'fastify'
import type { ListedInstance } from 'foxtaillever-core'
import type { InstanceListFaults, InstanceListModel } from './instanceListModel.js'

export function createInstanceListServer (model: InstanceListModel): FastifyInstance {
  const server = fastify({ forceCloseConnections: true })
  server.get('/instances', async (_, reply) => {
    return model.read().caseOf<unknown>({
      Left: failure => reply.code(503).send(failure),
      Right: instances => instances
    })
  })
  server.put('/instances', async (request) => {
    model.setInstance(request.body as ListedInstance)
    return {}
  })
  server.delete<{ Params: { name: string } }>('/instances/:name', async (request) => {
    model.remove(request.params.name)
    return {}
  })
  server.post('/faults', async (request) => {
    model.setFaults(request.body as Partial<InstanceListFaults>)
    return model.faults
  })
  return server
}
