import { describe, it } from 'foxtaillever-testing'
import { NamedWeights } from '../namedWeights.js'

const NOW = 100_000

describe('named weights', () => {
  // The store keeps only the newest version. A process restarted during a rollout took it for just named and let
  // requests begin on weights that had been replaced longer ago than the bound allows.
  it('count as old if found at the start, until another instance announces their age', t => {
    const named = NamedWeights.create()
    named.addVersion('model', 9, NOW, true)
    t.is(named.outdatedSince('model', 7), NOW - 4000)
    t.deepEqual(named.versionAges(NOW), [])
    named.mergeVersion({ model: 'model', version: 9, ageMs: 1500 }, NOW)
    t.is(named.outdatedSince('model', 7), NOW - 1500)
    named.mergeVersion({ model: 'model', version: 8, ageMs: 4500 }, NOW)
    t.is(named.outdatedSince('model', 7), NOW - 4500)
    t.is(named.outdatedSince('model', 8), NOW - 1500)
  })

  it('are as old as their earliest announcement', t => {
    const named = NamedWeights.create()
    named.addVersion('model', 2, NOW, false)
    named.mergeVersion({ model: 'model', version: 2, ageMs: 300 }, NOW)
    named.mergeVersion({ model: 'model', version: 2, ageMs: 100 }, NOW)
    t.is(named.outdatedSince('model', 1), NOW - 300)
    t.is(named.outdatedSince('model', 2), undefined)
  })
})
