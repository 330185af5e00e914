import { describe, it } from 'foxtaillever-testing'
import { addFigures, createFigures, firstTokenQuantile, hitRate } from '../index.js'

describe('figures', () => {
  const first = { ...createFigures(100, 900), served: 3, refused: { overload: 1 }, promptTokens: 100, cachedTokens: 80, firstToken: [0, 0, 98, 0, 0, 0, 0, 1, 0, 0, 0, 1] }
  const second = { ...createFigures(400, 800), served: 4, refused: { overload: 1, deadline: 2 }, promptTokens: 300, cachedTokens: 20 }

  it('of two instances are added, and count from the later start', t => {
    const sum = addFigures(first, second)
    t.deepEqual([sum.startedAt, sum.takenAt, sum.served, sum.promptTokens], [400, 800, 7, 400])
    t.deepEqual(sum.refused, { overload: 2, deadline: 2 })
    t.is(hitRate(sum), 0.25)
  })

  it('give the upper bound of the bucket of a quantile', t => {
    t.is(firstTokenQuantile(first, 0.5), 0.2)
    t.is(firstTokenQuantile(first, 0.99), 1.5)
    t.is(firstTokenQuantile(first, 1), Infinity)
  })

  it('have no quantile and no hit rate before any answer', t => {
    t.is(firstTokenQuantile(createFigures(0, 0), 0.99), undefined)
    t.is(hitRate(createFigures(0, 0)), undefined)
  })
})
