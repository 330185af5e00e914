import { describe, it } from 'foxtaillever-testing'
import { awaitFirstUntil, awaitNextUntil } from '../silence.js'

const objectiveMs = 100
const quick = { sentAt: 1000, deadline: 11_000, objectiveMs, usualMs: 30 }

describe('patience with a silent server', () => {
  // A connection goes silent and nothing closes it. Waited out to the deadline, the caller gets nothing; given up at
  // the first slow answer, servers that are merely busy get everything twice.
  it('leaves time for another try, and more than the objective for this one', t => {
    const until = awaitFirstUntil(quick)
    t.true(until > quick.sentAt + objectiveMs)
    t.true(until < quick.sentAt + (quick.deadline - quick.sentAt) / 2)
  })

  it('grows with what such requests usually take', t => {
    t.true(awaitFirstUntil({ ...quick, usualMs: 200 }) > awaitFirstUntil(quick))
  })

  it('ends before the deadline however slow all are', t => {
    t.true(awaitFirstUntil({ ...quick, deadline: 1500, usualMs: 5000 }) < 1500)
    t.is(awaitFirstUntil({ ...quick, deadline: 900 }), quick.sentAt)
  })

  // A service that nobody gave an objective works for half of its time limit.
  // Given up as silent, none of its answers would ever come.
  it('waits for the deadline where neither an objective nor what is usual calls the answer late', t => {
    const plain = { ...quick, objectiveMs: 0, deadline: 3000 }
    t.is(awaitFirstUntil({ ...plain, usualMs: undefined }), plain.deadline)
    t.is(awaitFirstUntil({ ...plain, usualMs: 1000 }), plain.deadline)
    t.true(awaitFirstUntil({ ...plain, usualMs: 20 }) < 2000)
  })

  it('bears pauses of a stream several times their objective', t => {
    t.true(awaitNextUntil(1000, 300) >= 1000 + 3 * 300)
    t.true(awaitNextUntil(1000, 0) > 1000)
  })
})
