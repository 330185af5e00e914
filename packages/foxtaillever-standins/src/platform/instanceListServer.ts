/** Puts the instance list on a socket. */
import fastify, { type FastifyInstance } from 'fastify'
import type { ListedInstance } from 'foxtaillever-core'
import type { InstanceListModel } from './instanceListModel.js'

export function createInstanceListServer (model: InstanceListModel): FastifyInstance {
  const server = fastify({ forceCloseConnections: true })
  server.get('/instances', async () => model.list())
  server.put('/instances', async (request) => {
    model.put(request.body as ListedInstance)
    return {}
  })
  server.delete<{ Params: { name: string } }>('/instances/:name', async (request) => {
    model.remove(request.params.name)
    return {}
  })
  return server
}
