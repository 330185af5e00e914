/** Serves the weight store over HTTP: a load is answered when it is done. */
import fastify, { type FastifyInstance } from 'fastify'
import type { WeightStore, WeightStoreFaults, WeightStoreModel } from './weightStoreModel.js'

export function createWeightStoreServer (model: WeightStoreModel): FastifyInstance {
  const server = fastify({ forceCloseConnections: true })
  server.post('/loads', async () => {
    await new Promise<void>(resolve => model.load(resolve))
    return { mostAtOnce: model.maxConcurrentLoads }
  })
  server.post('/faults', async (request) => {
    model.setFaults(request.body as Partial<WeightStoreFaults>)
    return model.faults
  })
  return server
}

/** Connects to the weight store of another process; a load whose answer is lost is retried. */
export function connectWeightStore (address: string): WeightStore {
  const load = async (): Promise<void> => {
    const answer = await fetch(`${address}/loads`, { method: 'POST' }).catch(() => undefined)
    return answer?.ok === true ? undefined : await load()
  }
  return { load: done => { load().then(done) } }
}
