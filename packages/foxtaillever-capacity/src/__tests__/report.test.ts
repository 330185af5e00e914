import { describe, it } from 'foxtaillever-testing'
import { weighSchemes, Scheme } from '../measures/schemes.js'
import { quantilesOf } from '../report/quantiles.js'
import { slopeOf, valueAt } from '../report/slope.js'
import { createTable } from '../report/table.js'

describe('capacity report', () => {
  it('finds the line through points that lie on one', t => {
    const slope = slopeOf([9, 50, 300].map(size => ({ size, value: 7 + 0.5 * size })))
    t.true(Math.abs(slope.base - 7) < 1e-9 && Math.abs(slope.perUnit - 0.5) < 1e-9)
    t.true(Math.abs(valueAt(slope, 380) - 197) < 1e-9)
  })

  it('gives a flat line for one point', t => {
    t.deepEqual(slopeOf([{ size: 9, value: 4 }]), { base: 4, perUnit: 0 })
  })

  it('gives quantiles of latencies', t => {
    const values = Array.from({ length: 100 }, (_, index) => index + 1)
    t.deepEqual(quantilesOf(values), { p50: 50, p99: 99, max: 100, count: 100 })
  })

  it('prints a table that a page can take in', t => {
    t.is(createTable('Bytes', ['', 'size'], [['one', 0.123456], ['two', 1234.5]]), '### Bytes\n\n|  | size |\n| --- | ---: |\n| one | 0.123 |\n| two | 1235 |\n')
  })

  it('sums a scheme from the size of its messages', t => {
    const message = { bytes: 100, makeMicroseconds: 10, takeMicroseconds: 20 }
    const costs = weighSchemes(11, { single: message, full: message, probe: message })
    const allToAll = costs.find(({ scheme }) => scheme === Scheme.AllToAll)!
    t.is(allToAll.sentPerSecond, 1000)
    t.is(allToAll.receivedPerSecond, 1000)
    t.is(allToAll.corePercent, 0.03)
    const broadcaster = costs.find(({ scheme }) => scheme === Scheme.SuppressiveBroadcaster)!
    t.is(broadcaster.sentPerSecond, 1000)
  })
})
