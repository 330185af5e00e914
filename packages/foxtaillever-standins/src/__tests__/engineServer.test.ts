/** The stand-in engine on a socket of the loopback: what a crash and a freeze look like from outside. */
import { EnginePath, SystemClock, Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { EngineModel } from '../engine/engineModel.js'
import { createEngineServer } from '../engine/engineServer.js'

async function withEngine (run: (address: string) => Promise<void>): Promise<void> {
  const model = EngineModel.create({
    name: 'e', models: ['m'], weightsVersion: 'v1', slots: 2, prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1000, cacheTokens: 1000, cacheKeptMs: 1000
  }, SystemClock.create())
  const server = createEngineServer(model)
  try {
    await run(await server.listen({ host: '127.0.0.1', port: 0 }))
  } finally {
    await server.close()
  }
}

async function post (address: string, path: string, body: object): Promise<Response> {
  return await fetch(address + path, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
}

async function until<Value> (attempt: () => Promise<Value>): Promise<Value> {
  for (;;) {
    try {
      return await attempt()
    } catch {
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }
}

describe('stand-in engine on a socket', () => {
  it('refuses an unknown model with its verdict', async t => {
    await withEngine(async address => {
      const answer = await post(address, EnginePath.Completions, { model: 'other', prompt: 'p' })
      t.is(answer.status, 503)
      t.is(answer.headers.get('x-verdict'), Verdict.NotRun)
    })
  })

  // The machine under an engine goes away for a moment. Callers meet refused connections, then a new, empty engine.
  it('comes back on the same port as another incarnation after a crash', async t => {
    await withEngine(async address => {
      const before = await (await fetch(address + EnginePath.State)).json() as { incarnation: string }
      await until(async () => await post(address, '/faults', { restartMs: 50, crash: true }))
      const after = await until(async () => {
        const state = await (await fetch(address + EnginePath.State)).json() as { incarnation: string }
        if (state.incarnation === before.incarnation) {
          throw new Error('not yet')
        }
        return state
      })
      t.not(after.incarnation, before.incarnation)
    })
  })
})
