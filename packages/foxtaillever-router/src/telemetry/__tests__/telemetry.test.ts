import { readFile } from 'node:fs/promises'
import { Failure, FailureCode, PriorityClass, Verdict } from 'foxtaillever-core'
import { DecisionKind, firstTokenQuantile, hitRate } from 'foxtaillever-control'
import type { Job } from 'foxtaillever-policy'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { DecisionRecord } from '../decisionRecord.js'
import { Logs } from 'foxtaillever-telemetry'
import { metricTable } from '../metricTable.js'
import { Telemetry } from '../telemetry.js'

function createJob (id: string, account = 'vale'): Job {
  return {
    id,
    account,
    model: 'feed',
    priority: PriorityClass.Standard,
    idempotent: true,
    arrivedAt: 1_000_000,
    deadline: 1_060_000,
    levels: [{ hash: 'catalogue', tokens: 80 }, { hash: `question of ${id}`, tokens: 100 }],
    promptTokens: 100,
    maxTokens: 8,
    fingerprint: id
  }
}

function createTelemetry () {
  const clock = VirtualClock.create(1_000_000)
  const logs = Logs.create({ instance: 'entry-1', level: 'silent', clock })
  return { clock, telemetry: Telemetry.create({ instance: 'entry-1', clock, logs }) }
}

const end = { finishReason: 'stop', promptTokens: 100, cachedTokens: 0, completionTokens: 8 }

function serve (telemetry: Telemetry, job: Job, cachedTokens: number): void {
  telemetry.arrived(job)
  telemetry.assigned(job, { jobId: job.id, server: 'w1', rule: 'expected-first-token', candidates: [{ server: 'w1', cost: 10 }, { server: 'w2', cost: 20 }] })
  telemetry.started(job, 'w1', { streamId: 's', incarnation: 'i', weightsVersion: 'v', promptTokens: 100, cachedTokens })
  telemetry.firstToken(job, 'w1')
  telemetry.finished(job, 'w1', end)
}

describe('telemetry', () => {
  describe('figures', () => {
    it('count the outcomes of requests by client account', async t => {
      const { clock, telemetry } = createTelemetry()
      await clock.advanceBy(300)
      serve(telemetry, createJob('r1'), 0)
      serve(telemetry, createJob('r2'), 80)
      telemetry.arrived(createJob('r3', 'serra'))
      telemetry.refused(createJob('r3', 'serra'), 'queue', Failure.notRun(FailureCode.Overloaded, 'Full.'))
      telemetry.arrived(createJob('r4'))
      telemetry.failed(createJob('r4'), 'w1', Failure.create(FailureCode.DeadlinePassed, Verdict.MayHaveRun, 'Too late.'))
      const vale = await telemetry.figures('vale')
      t.deepEqual([vale.served, vale.late, vale.failed], [2, 1, { may_have_run: 1 }])
      t.is(hitRate(vale), 0.4)
      t.is(firstTokenQuantile(vale, 0.99), 0.35)
      t.deepEqual((await telemetry.figures('serra')).refused, { queue: 1 })
      t.is((await telemetry.figures()).served, 2)
    })

    // The engine evicts a prefix of 80 tokens between two requests that share it and
    // computes it again. Only the second computation is wasted.
    it('distinguish wasted recomputation from a first computation', async t => {
      const { telemetry } = createTelemetry()
      serve(telemetry, createJob('r1'), 0)
      t.is((await telemetry.figures()).recomputedTokens, 0)
      serve(telemetry, createJob('r2'), 16)
      t.is((await telemetry.figures()).recomputedTokens, 64)
      serve(telemetry, createJob('r3', 'another account'), 0)
      t.is((await telemetry.figures()).recomputedTokens, 64)
    })

    it('show the requests that wait and run now', async t => {
      const { telemetry } = createTelemetry()
      const job = createJob('r1')
      telemetry.arrived(job)
      t.deepEqual(telemetry.liveCount('vale'), { waiting: 1, running: 0 })
      t.is((await telemetry.figures()).waiting.standard, 1)
      telemetry.assigned(job, { jobId: 'r1', server: 'w1', rule: '', candidates: [] })
      t.deepEqual(telemetry.liveCount('vale'), { waiting: 0, running: 1 })
      telemetry.cancelled(job, 'w1')
      t.deepEqual(telemetry.liveCount('vale'), { waiting: 0, running: 0 })
    })
  })

  describe('explanations', () => {
    it('show each decision with its candidates, by the router\'s id or the caller\'s', t => {
      const { telemetry } = createTelemetry()
      serve(telemetry, createJob('order-7.1a2b3c4d'), 80)
      const explanation = telemetry.explain('order-7')
      t.deepEqual(explanation?.decisions.map(({ kind }) => kind), [DecisionKind.Arrived, DecisionKind.Placed, DecisionKind.Started, DecisionKind.FirstToken, DecisionKind.Finished])
      t.deepEqual(explanation?.decisions[1]?.candidates, [{ server: 'w1', cost: 10 }, { server: 'w2', cost: 20 }])
      t.is(telemetry.explain('order-7.1a2b3c4d')?.requestId, 'order-7.1a2b3c4d')
      t.is(telemetry.explain('order-8'), undefined)
    })

    // A request fails repeatedly among thousands of others. Memory use must stay
    // limited, and the latest requests must stay explainable.
    it('are kept for the latest requests only, with a limited size for each', t => {
      const record = DecisionRecord.create('entry-1', 3)
      const candidates = Array.from({ length: 700 }, (_, index) => ({ server: `w${index}`, cost: index }))
      for (let index = 0; index < 10; index++) {
        record.addRequest(createJob(`r${index}`))
      }
      for (let index = 0; index < 100; index++) {
        record.addDecision('r9', { kind: DecisionKind.Retried, at: 0, rule: '', server: '', candidates, message: '' })
      }
      t.is(record.size(), 3)
      t.is(record.find('r6'), undefined)
      t.deepEqual([record.find('r9')?.decisions.length, record.find('r9')?.leftOut], [24, 76])
      t.is(record.find('r9')?.decisions[0]?.candidates.length, 8)
    })
  })

  describe('metrics', () => {
    it('are read as text with every name of the table', async t => {
      const { telemetry } = createTelemetry()
      const text = await telemetry.metrics.text()
      t.deepEqual(Object.keys(metricTable).filter(name => !text.includes(`# TYPE ${name} `)), [])
    })

    it('have a unit or a count in their names', t => {
      t.deepEqual(Object.keys(metricTable).filter(name => !/_(total|seconds|bytes|requests|revision|offset|instances)$/.test(name)), [])
    })

    it('are documented on the operators\' page as in the code', async t => {
      const page = await readFile(new URL('../../../../../docs/operators/logs-and-metrics.md', import.meta.url), 'utf8')
      const rows = Object.entries(metricTable).map(([name, { kind, labels, help }]) => `| \`${name}\` | ${kind} | ${labels.join(', ') || '-'} | ${help} |`)
      t.deepEqual(rows.filter(row => !page.includes(row)), [])
    })
  })
})
