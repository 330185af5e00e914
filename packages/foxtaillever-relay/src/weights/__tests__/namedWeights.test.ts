import { describe, it } from 'foxtaillever-testing'
import { NamedWeights } from '../namedWeights.js'

const NOW = 100_000

describe('named weights', () => {
  // The store keeps the newest version only. A process that restarts in the middle of a rollout took it for just named,
  // and let requests begin on weights that had been replaced longer ago than the bound allows.
  it('count as old when they were found at the start, until one who heard them tells', t => {
    const named = NamedWeights.create()
    named.name('model', 9, NOW, true)
    t.is(named.outdatedSince('model', 7), NOW - 4000)
    t.deepEqual(named.ages(NOW), [])
    named.observe({ model: 'model', version: 9, ageMs: 1500 }, NOW)
    t.is(named.outdatedSince('model', 7), NOW - 1500)
    named.observe({ model: 'model', version: 8, ageMs: 4500 }, NOW)
    t.is(named.outdatedSince('model', 7), NOW - 4500)
    t.is(named.outdatedSince('model', 8), NOW - 1500)
  })

  it('are as old as the first word of them', t => {
    const named = NamedWeights.create()
    named.name('model', 2, NOW, false)
    named.observe({ model: 'model', version: 2, ageMs: 300 }, NOW)
    named.observe({ model: 'model', version: 2, ageMs: 100 }, NOW)
    t.is(named.outdatedSince('model', 1), NOW - 300)
    t.is(named.outdatedSince('model', 2), undefined)
  })
})
