import { noLoad } from 'foxtaillever-policy/relay/serverLoad'
import { describe, it } from 'foxtaillever-testing'
import { AdmissionOutcome } from '../admissionMessage.js'
import { MAX_QUEUED, ServerAdmissions } from '../serverAdmissions.js'

/** Room for a single request, and reading that takes no time. */
const capacity = { tokensPerMs: 1e9, memoryTokens: 0, slots: 1, readAheadMs: 100, isBrittle: false }
const entry = { account: 'acme', fingerprint: 1, tokens: 9190, heldTokens: 9190, priority: 3, objectiveAt: 60_000, latestStartAt: 60_000, expiresAt: 60_000 }
const one = { outstanding: 1, tokens: 9190, heldTokens: 9190 }

/** The first of two requests is admitted, the second waits. */
function admitFirst (): ServerAdmissions {
  const admissions = ServerAdmissions.create(noLoad, 0)
  admissions.add({ address: 'a', number: 1 }, entry, 0)
  admissions.add({ address: 'a', number: 2 }, entry, 0)
  admissions.decide(noLoad, capacity, 0)
  return admissions
}

describe('admissions at one server', () => {
  // Taken for another instance's request, an admission on its way would make room for one more.
  it('are counted until a report of their own requester contains them', t => {
    const admissions = admitFirst()
    admissions.recordLoad(noLoad, 'b', 1, 10)
    t.deepEqual(admissions.decide(noLoad, capacity, 10), [])
    admissions.recordLoad(noLoad, 'a', 1, 20)
    t.is(admissions.decide(noLoad, capacity, 20).length, 1)
  })

  // Counted twice, it would keep room empty until it is overdue.
  it('are not counted in addition to the report that contains them', t => {
    const admissions = admitFirst()
    admissions.recordLoad(one, 'a', 1, 10)
    t.is(admissions.decide(one, { ...capacity, slots: 2 }, 10).length, 1)
  })

  // A requester that dies never reports its admission; the room must not be lost.
  it('that appear in no report count for 60 ms, and the queue is decided then', t => {
    const admissions = admitFirst()
    t.true(admissions.nextDecisionAt(capacity, 55) <= 65)
    t.deepEqual(admissions.decide(noLoad, capacity, 59), [])
    t.is(admissions.decide(noLoad, capacity, 60).length, 1)
  })

  it('are remembered for 600 ms, unless they were returned', t => {
    const admissions = admitFirst()
    const id = { address: 'a', number: 1 }
    t.is(admissions.decisionOn(id, 599)?.outcome, AdmissionOutcome.Admitted)
    t.is(admissions.decisionOn(id, 600), undefined)
    admissions.cancel(id, 100)
    t.is(admissions.decisionOn(id, 100), undefined)
    t.is(admissions.decide(noLoad, capacity, 100).length, 1)
  })

  // A flood of requests must not fill the memory of the owner.
  it('are refused when the queue is full, while renewals are accepted', t => {
    const admissions = ServerAdmissions.create(one, 0)
    for (let number = 0; number < MAX_QUEUED; number += 1) {
      t.true(admissions.add({ address: 'a', number }, entry, 0))
    }
    t.false(admissions.add({ address: 'a', number: MAX_QUEUED }, entry, 0))
    t.true(admissions.add({ address: 'a', number: 0 }, entry, 0))
    t.is(admissions.size, MAX_QUEUED)
    t.false(admissions.isIdle(100_000))
  })
})
