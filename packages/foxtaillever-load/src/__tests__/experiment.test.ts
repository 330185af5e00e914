/** Parts of experiments that need no deployment: arrivals, faults, variants, ratios, reports. */
import { PlacementPolicy } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { shapes, type Shape } from '../deployment/shape.js'
import { createRatio } from '../experiment/ratio.js'
import { parseVariant } from '../experiment/variant.js'
import { parseFault } from '../faults/fault.js'
import { createRunReport } from '../report/htmlReport.js'
import { createResults } from '../results/results.js'
import { AnswerState, type Answer } from '../workload/answer.js'
import { ArrivalKind, type Arrival } from '../workload/arrival.js'
import { createArrivals } from '../workload/createArrivals.js'
import { createRandom } from '../workload/createRandom.js'

const shape = shapes['presedan'] as Shape

function draw (seed: number): Arrival[] {
  return createArrivals({ shape, random: createRandom(seed), requestsPerSecond: 50, seconds: 20 })
}

function createAnswer (arrival: Arrival, changes: Partial<Answer> = {}): Answer {
  return {
    arrival,
    state: AnswerState.Complete,
    status: 200,
    code: '',
    verdict: '',
    firstTokenMs: 20,
    totalMs: 40,
    betweenTokensMs: 5,
    lateMs: 0,
    promptTokens: 1000,
    cachedTokens: 500,
    ...changes
  }
}

describe('experiments', () => {
  describe('arrivals', () => {
    it('are the same for the same seed and others for another', t => {
      t.deepEqual(draw(1), draw(1))
      t.notDeepEqual(draw(1), draw(2))
    })

    it('come at the rate that was asked for, some of them at the plain service', t => {
      const arrivals = draw(1)
      t.true(Math.abs(arrivals.length - 1000) < 120, String(arrivals.length))
      t.true(Object.values(ArrivalKind).every(kind => arrivals.some(arrival => arrival.kind === kind)))
    })

    // If all prompts fitted into one worker's cache, every policy would have the same results.
    it('share prefixes that fit into the caches of all workers together and not into that of one', t => {
      for (const each of Object.values(shapes)) {
        const catalogues = each.accounts.length * each.catalogues
        const tokens = catalogues * (each.catalogueTokens + each.tenants * each.tenantTokens)
        t.true(tokens > each.cacheTokens && tokens < each.cacheTokens * each.workers, each.name)
      }
    })

    it('move their hot prefix on with time', t => {
      const hotIn = (from: number): string | undefined => {
        const firm = draw(1).filter(arrival => arrival.account === 'law-firm' && arrival.kind === ArrivalKind.Language)
        const within = firm.filter(arrival => arrival.offsetMs >= from && arrival.offsetMs < from + shape.hotShiftMs)
        const counts = new Map<string, number>()
        within.forEach(({ messages }) => counts.set(messages[0]?.content ?? '', (counts.get(messages[0]?.content ?? '') ?? 0) + 1))
        return [...counts].toSorted((one, other) => other[1] - one[1])[0]?.[0].slice(0, 40)
      }
      t.not(hotIn(0), hotIn(shape.hotShiftMs))
    })
  })

  describe('settings', () => {
    it('read faults and refuse what is none', t => {
      t.deepEqual(parseFault('5 worker-2 slowFactor=8 frozen=true').extract(), { offsetMs: 5000, target: 'worker-2', changes: { slowFactor: 8, frozen: true } })
      t.true(['', '5', '5 worker-2', '-1 log outage=true', 'x log outage=true', '5 log outage'].every(text => parseFault(text).isLeft()))
    })

    it('read variants: a policy, a preset, another build', t => {
      t.deepEqual(parseVariant('random').extract(), { name: 'random', preset: { placement: PlacementPolicy.Random }, targets: [] })
      t.deepEqual(parseVariant('short={"queueLimit":5}').extract(), { name: 'short', preset: { queueLimit: 5 }, targets: [] })
      t.deepEqual(parseVariant('new=@http://127.0.0.1:1,http://127.0.0.1:2').extract(), { name: 'new', preset: {}, targets: ['http://127.0.0.1:1', 'http://127.0.0.1:2'] })
      t.true(['best', 'x={', 'x={"placement":"best"}'].every(text => parseVariant(text).isLeft()))
    })
  })

  describe('results', () => {
    it('give the ratio of pairs with its spread, and none where a side has no figure', t => {
      const ratio = createRatio([{ base: 10, other: 20 }, { base: 10, other: 5 }, { base: 0, other: 5 }])
      t.is(ratio.pairs, 2)
      t.true(Math.abs(ratio.mean - 1) < 1e-9)
      t.deepEqual([ratio.smallest, ratio.largest], [0.5, 2])
    })

    it('tell broken answers, hits and waste apart, and stand in one page that loads nothing', t => {
      const arrivals = draw(1).filter(arrival => arrival.kind === ArrivalKind.Language).slice(0, 4).map(arrival => ({ ...arrival, sharedTokens: 716 }))
      const [first, ...rest] = arrivals.map(arrival => createAnswer(arrival))
      const answers = [{ ...first as Answer, state: AnswerState.Wrong, code: '<b>' }, ...rest]
      const settings = { shape: shape.name, seed: 1, requestsPerSecond: 50, seconds: 20, faults: [], variant: 'random' }
      const results = createResults({ settings, answers, promises: undefined, loopDelayP99Ms: 1 })
      t.deepEqual([results.summary.complete, results.summary.broken, results.summary.prefixHitRate, results.summary.wastedShare], [3, 1, 0.5, 0.2])
      const page = createRunReport(results)
      t.notRegex(page, /<script|<link|src=|url\(|<b>/)
      t.is(page.match(/<svg/g)?.length, page.match(/<\/svg>/g)?.length)
    })
  })
})
