import { describe, it } from 'foxtaillever-testing'
import { firstEventTimeoutAt, nextEventTimeoutAt } from '../answerTimeout.js'

const objectiveMs = 100
const quick = { sentAt: 1000, deadline: 11_000, objectiveMs, usualMs: 30 }

describe('the timeout of a silent server', () => {
  // A connection goes silent without being closed. With a timeout at the deadline the caller gets nothing; with one that
  // ends at the first slow answer, servers that are merely busy get every request twice.
  it('leaves time for another attempt, and more than the objective for this one', t => {
    const until = firstEventTimeoutAt(quick)
    t.true(until > quick.sentAt + objectiveMs)
    t.true(until < quick.sentAt + (quick.deadline - quick.sentAt) / 2)
  })

  it('grows with the usual time of such requests', t => {
    t.true(firstEventTimeoutAt({ ...quick, usualMs: 200 }) > firstEventTimeoutAt(quick))
  })

  it('ends before the deadline however slow all servers are', t => {
    t.true(firstEventTimeoutAt({ ...quick, deadline: 1500, usualMs: 5000 }) < 1500)
    t.is(firstEventTimeoutAt({ ...quick, deadline: 900 }), quick.sentAt)
  })

  // A service without an objective works for half of its time limit. If its
  // servers counted as silent, none of its answers would ever arrive.
  it('is the deadline where neither an objective nor the usual time makes the answer late', t => {
    const plain = { ...quick, objectiveMs: 0, deadline: 3000 }
    t.is(firstEventTimeoutAt({ ...plain, usualMs: undefined }), plain.deadline)
    t.is(firstEventTimeoutAt({ ...plain, usualMs: 1000 }), plain.deadline)
    t.true(firstEventTimeoutAt({ ...plain, usualMs: 20 }) < 2000)
  })

  it('allows pauses of a stream several times their objective', t => {
    t.true(nextEventTimeoutAt(1000, 300) >= 1000 + 3 * 300)
    t.true(nextEventTimeoutAt(1000, 0) > 1000)
  })
})
