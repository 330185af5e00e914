/**
 * The stand-in engine as a process that reports each run to its parent before
 * the run begins, so that the oracle learns of it even if the process is killed.
 */
import { writeSync } from 'node:fs'
import { SystemClock } from 'foxtaillever-core'
import { createEngineServer, EngineModel } from 'foxtaillever-standins'

const STANDARD_OUTPUT = 1

const [name = 'engine', port = '0'] = process.argv.slice(2)
const model = EngineModel.create({
  name: `${name}-${process.pid}`,
  models: ['order-language'],
  weightsVersion: 'v1',
  slots: 16,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 30,
  cacheTokens: 65_536,
  cacheKeptMs: 10_000,
  loadLagMs: 300
}, SystemClock.create())

const submit = model.submit.bind(model)
model.submit = (generation, sink) => {
  const submitted = submit(generation, sink)
  submitted.ifRight(() => {
    const { requestId, account, idempotencyKey } = generation
    writeSync(STANDARD_OUTPUT, `run ${JSON.stringify({ engine: name, requestId, account, idempotencyKey: idempotencyKey ?? '' })}\n`)
  })
  return submitted
}

const server = createEngineServer(model)
await server.listen({ host: '127.0.0.1', port: Number(port) })
writeSync(STANDARD_OUTPUT, 'ready\n')
process.once('SIGTERM', () => {
  server.close().then(() => process.exit(0))
})
