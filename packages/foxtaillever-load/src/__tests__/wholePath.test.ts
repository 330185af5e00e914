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

const headers = { authorization: `Bearer ${keyOf('account-1')}`, 'content-type': 'application/json' }

/** Maximum number of retries of a caller whose export was refused as not run. */
const MAX_RETRIES = 20

/**
 * Sends an export as its callers do: a caller retries after the reply that the
 * log did not confirm the claim in time and that nothing ran. On a machine
 * without a free processor the log of the same process may need seconds.
 */
async function exportCase (deployment: EmbeddedDeployment, instance: number, key: string, retries = MAX_RETRIES): Promise<Response> {
  const answer = await fetch(`${deployment.addresses[instance]}/services/records/exports`, { method: 'POST', headers: { ...headers, 'idempotency-key': key }, body: '{}' })
  const isTurnedAway = answer.status === 503 && answer.headers.get('x-verdict') === 'not_run' && answer.headers.has('retry-after')
  return isTurnedAway && retries > 0 ? await exportCase(deployment, instance, key, retries - 1) : answer
}

function runsOf (deployment: EmbeddedDeployment, key: string): number {
  return deployment.plains.reduce((sum, plain) => sum + (plain.exports.get(key) ?? 0), 0)
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
        const lookup = await fetch(`${deployment.addresses[0]}/services/records/citations/17`, { headers })
        t.deepEqual(await lookup.json(), { citation: '17' })
        const key = `${Date.now()}-export-1`
        const exported = await exportCase(deployment, 1, key)
        t.deepEqual(await exported.json(), { exported: key })
        t.is(runsOf(deployment, key), 1)
      })
    })

    it('runs an export once, though its caller sends it again through another instance', async t => {
      // The answer to a billed export was lost on its way, so the associate's
      // program sends it again and the balancer picks another instance. Without
      // a claim in the log the firm would be billed twice.
      await withDeployment(async deployment => {
        const key = `${Date.now()}-export-2`
        const answers = await Promise.all([0, 1, 2].map(async instance => await exportCase(deployment, instance, key)))
        const later = await exportCase(deployment, 1, key)
        t.deepEqual(answers.map(answer => answer.status).sort((one, other) => one - other), [200, 409, 409])
        t.is(later.status, 409)
        t.not(later.headers.get('x-verdict'), 'not_run')
        t.is(runsOf(deployment, key), 1)
      })
    })

    it('refuses an export whose key does not say how old it is', async t => {
      // Claims leave the log after its retention; a key without a date would
      // be taken for a new key a week later and the export would run twice.
      await withDeployment(async deployment => {
        const answer = await exportCase(deployment, 0, 'export-3')
        t.is(answer.status, 400)
        t.is(answer.headers.get('x-verdict'), 'not_run')
        t.is(runsOf(deployment, 'export-3'), 0)
      })
    })
  })
})
