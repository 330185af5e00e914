import { describe, it } from 'foxtaillever-testing'
import { computeSchemeCosts, Scheme } from '../measures/schemes.js'
import { computeQuantiles } from '../report/quantiles.js'
import { fitLine, evaluateLine } from '../report/fitLine.js'
import { createTable } from '../report/table.js'

describe('capacity report', () => {
  it('fits the line through points of a line', t => {
    const line = fitLine([9, 50, 300].map(size => ({ size, value: 7 + 0.5 * size })))
    t.true(Math.abs(line.base - 7) < 1e-9 && Math.abs(line.perUnit - 0.5) < 1e-9)
    t.true(Math.abs(evaluateLine(line, 380) - 197) < 1e-9)
  })

  it('gives a flat line for one point', t => {
    t.deepEqual(fitLine([{ size: 9, value: 4 }]), { base: 4, perUnit: 0 })
  })

  it('gives quantiles of latencies', t => {
    const values = Array.from({ length: 100 }, (_, index) => index + 1)
    t.deepEqual(computeQuantiles(values), { p50: 50, p99: 99, max: 100, count: 100 })
  })

  it('creates a Markdown table', t => {
    t.is(createTable('Bytes', ['', 'size'], [['one', 0.123456], ['two', 1234.5]]), '### Bytes\n\n|  | size |\n| --- | ---: |\n| one | 0.123 |\n| two | 1235 |\n')
  })

  it('computes the cost of a scheme from the cost of its messages', t => {
    const message = { bytes: 100, encodeMicroseconds: 10, decodeMicroseconds: 20 }
    const costs = computeSchemeCosts(11, { single: message, full: message, probe: message })
    const allToAll = costs.find(({ scheme }) => scheme === Scheme.AllToAll)!
    t.is(allToAll.sentPerSecond, 1000)
    t.is(allToAll.receivedPerSecond, 1000)
    t.is(allToAll.corePercent, 0.03)
    const broadcaster = costs.find(({ scheme }) => scheme === Scheme.SuppressiveBroadcaster)!
    t.is(broadcaster.sentPerSecond, 1000)
  })
})
