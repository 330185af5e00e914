import { PlacementPolicy } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { EmbeddedDeployment, keyOf } from '../deployment/embeddedDeployment.js'
import { shapes, type Shape } from '../deployment/shape.js'
import { createArrivals } from '../workload/createArrivals.js'
import { createRandom } from '../workload/createRandom.js'
import { runArrivals } from '../workload/runArrivals.js'
import { AnswerState } from '../workload/answer.js'

const shape: Shape = { ...shapes['sertaneja'] as Shape, instances: 3, workers: 3, answerTokens: 4 }

async function withDeployment (run: (deployment: EmbeddedDeployment) => Promise<void>): Promise<void> {
  const deployment = await EmbeddedDeployment.start({ shape, placement: PlacementPolicy.ExpectedFirstToken, seed: 1 })
  try {
    await run(deployment)
  } finally {
    await deployment.stop()
  }
}

describe('the whole path', () => {
  describe('language work', () => {
    it('answers every caller with the whole answer to its own prompt', async t => {
      await withDeployment(async deployment => {
        const arrivals = createArrivals({ shape, random: createRandom(7), requestsPerSecond: 40, seconds: 1 })
        const answers = await runArrivals(deployment.addresses, arrivals)
        t.true(answers.length > 10)
        t.true(answers.every(answer => answer.state === AnswerState.Complete))
      })
    })

    it('refuses a key that is not known, with the verdict that nothing ran', async t => {
      await withDeployment(async deployment => {
        const answer = await fetch(`${deployment.addresses[0]}/v1/models`, { headers: { authorization: 'Bearer nobody' } })
        t.is(answer.status, 401)
        t.is(answer.headers.get('x-verdict'), 'not_run')
      })
    })
  })

  describe('plain services', () => {
    it('routes a lookup and an export by path', async t => {
      await withDeployment(async deployment => {
        const headers = { authorization: `Bearer ${keyOf('account-1')}`, 'content-type': 'application/json', 'idempotency-key': 'export-1' }
        const lookup = await fetch(`${deployment.addresses[0]}/services/records/citations/17`, { headers })
        t.deepEqual(await lookup.json(), { citation: '17' })
        const exported = await fetch(`${deployment.addresses[1]}/services/records/exports`, { method: 'POST', headers, body: '{}' })
        t.deepEqual(await exported.json(), { exported: 'export-1' })
        const runs = deployment.plains.map(plain => plain.exports.get('export-1') ?? 0)
        t.is(runs.reduce((sum, count) => sum + count, 0), 1)
      })
    })
  })
})
