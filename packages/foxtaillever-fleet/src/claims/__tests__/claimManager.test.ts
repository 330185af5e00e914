import { Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { MAX_CLOCK_AHEAD_MS } from '../claimFold.js'
import { ClaimFleet, RETENTION_MS, grantOf, describeResult } from '../__fixtures__/claimFleet.js'

describe('claims', () => {
  describe('through several instances', () => {
    it('grants one of two racing claims', async t => {
      // A caller times out and sends the order again through another instance
      // while the first attempt is still being claimed.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const answers = [fleet.requestClaim(one, { idempotencyKey: 'order' }), fleet.requestClaim(other, { idempotencyKey: 'order' })]
      await fleet.advance()
      t.deepEqual(answers.map(describeResult).sort(), ['claim_lost may_have_run', 'granted'])
    })

    it('reports to a losing caller how the winning request ended', async t => {
      // The answer was lost on its way to the caller, who sends the request again.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const first = fleet.requestClaim(one, { idempotencyKey: 'order' })
      await fleet.advance()
      grantOf(first).use(fleet.clock)
      one.manager.settle(grantOf(first), Verdict.Ran)
      await fleet.advance(2000)
      const again = fleet.requestClaim(other, { idempotencyKey: 'order' })
      await fleet.advance()
      t.is(describeResult(again), 'claim_lost ran')
    })

    it('releases a key when the owner proves that nothing ran', async t => {
      // The backend server refused the connection, so the order may be sent
      // again under its key; otherwise it could never be executed.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const first = fleet.requestClaim(one, { idempotencyKey: 'order' })
      await fleet.advance()
      one.manager.settle(grantOf(first), Verdict.NotRun)
      await fleet.advance(2000)
      const again = fleet.requestClaim(other, { idempotencyKey: 'order' })
      await fleet.advance()
      t.is(describeResult(again), 'granted')
    })

    it('refuses another body under the same key', async t => {
      // A client library reuses a key by mistake for a different order.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      fleet.requestClaim(one, { idempotencyKey: 'order' })
      await fleet.advance()
      const reused = fleet.requestClaim(other, { idempotencyKey: 'order', digest: 'other body' })
      await fleet.advance()
      t.is(describeResult(reused), 'key_reused not_run')
    })

    it('batches claims into few appends', async t => {
      // A burst of 500 orders must not use up the log's append rate.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answers = Array.from({ length: 500 }, (_, order) => fleet.requestClaim(member, { idempotencyKey: `order-${order}` }))
      await fleet.advance()
      t.true(answers.every(answer => describeResult(answer) === 'granted'))
      t.true(member.reader.offset() <= 2)
    })
  })

  describe('when the log fails', () => {
    it('finds a claim when the answer of its append was lost', async t => {
      // The append took effect but its answer was lost. A repeated claim would
      // lose against the first one, so the log is read instead.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ lostAnswers: 1 })
      const answer = fleet.requestClaim(member, { idempotencyKey: 'order' })
      await fleet.advance()
      t.is(describeResult(answer), 'granted')
      t.is(member.reader.offset(), 1)
    })

    it('refuses, not run, after a bounded wait while the log is down', async t => {
      // No order may be sent unclaimed; the caller gets the failure within 3 s.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ outage: true })
      const answer = fleet.requestClaim(member, { idempotencyKey: 'order', timeoutMs: 60_000 })
      await fleet.advance(3100)
      t.is(describeResult(answer), 'log_unavailable not_run')
      const retryAt = answer.result?.swap().map(failure => failure.retryAt).extract() as number | undefined
      t.true(retryAt !== undefined && retryAt > fleet.clock.now(), 'the caller learns when to retry')
      fleet.model.setFaults({ outage: false })
      await fleet.advance(5000)
      t.is(member.reader.offset(), 0)
    })

    it('grants after a short outage within the wait', async t => {
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ outage: true })
      const answer = fleet.requestClaim(member, { idempotencyKey: 'order' })
      await fleet.advance(1000)
      fleet.model.setFaults({ outage: false })
      await fleet.advance(1000)
      t.is(describeResult(answer), 'granted')
    })

    it('releases a claim that appears in the log after its request was refused', async t => {
      // The append took effect while this instance was cut off from the log.
      // Its caller got "not run", so the key must not stay taken.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      await fleet.advance(10)
      const refused = fleet.requestClaim(one, { idempotencyKey: 'order' })
      await fleet.advance(22)
      one.log.isPartitioned = true
      await fleet.advance(5000)
      t.is(describeResult(refused), 'log_unavailable not_run')
      t.truthy(other.fold.find(JSON.stringify(['cooperative', 'order'])))
      one.log.isPartitioned = false
      await fleet.advance(5000)
      const again = fleet.requestClaim(other, { idempotencyKey: 'order' })
      await fleet.advance()
      t.is(describeResult(again), 'granted')
    })
  })

  describe('when an owner dies or is paused', () => {
    it('never runs again what a dead owner may have sent', async t => {
      // The instance was replaced between its claim and the answer. Whether
      // the order was executed is unknown, so it is not sent again.
      const fleet = ClaimFleet.create()
      const dying = fleet.start()
      const first = fleet.requestClaim(dying, { idempotencyKey: 'order' })
      await fleet.advance()
      t.is(describeResult(first), 'granted')
      dying.reader.stop()
      const replacement = fleet.start()
      await fleet.advance(1_000_000)
      const again = fleet.requestClaim(replacement, { idempotencyKey: 'order', createdAt: fleet.clock.now() - 1_000_000 })
      await fleet.advance()
      t.is(describeResult(again), 'claim_lost may_have_run')
    })

    it('sends nothing after a pause beyond the deadline', async t => {
      // The process was suspended while it held the grant. Its caller has been
      // answered since, so the order must not be sent when the process resumes.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answer = fleet.requestClaim(member, { idempotencyKey: 'order', timeoutMs: 1000 })
      await fleet.advance()
      const grant = grantOf(answer)
      await fleet.advance(1000)
      const used = grant.use(fleet.clock)
      t.true(used.isLeft())
    })

    it('uses a grant for one attempt at a time', async t => {
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answer = fleet.requestClaim(member, { idempotencyKey: 'order' })
      await fleet.advance()
      const grant = grantOf(answer)
      t.true(grant.use(fleet.clock).isRight())
      t.true(grant.use(fleet.clock).isLeft())
      grant.release()
      t.true(grant.use(fleet.clock).isRight())
    })
  })

  describe('beyond the log\'s retention', () => {
    it('refuses a key that is older than what the log keeps', async t => {
      // A client that was offline for a day sends its order again. The claim has
      // expired from the log, though older instances may still hold it; running
      // the order now would execute it twice.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const createdAt = fleet.clock.now()
      fleet.requestClaim(one, { idempotencyKey: 'order', createdAt })
      await fleet.advance(RETENTION_MS + 1000)
      const later = fleet.start()
      await fleet.advance()
      const answers = [one, other, later].map(member => fleet.requestClaim(member, { idempotencyKey: 'order', createdAt }))
      await fleet.advance()
      t.deepEqual(answers.map(describeResult), ['claim_lost may_have_run', 'claim_lost may_have_run', 'claim_expired may_have_run'])
    })

    it('lets a restarted instance claim new keys at once', async t => {
      // Instances are replaced from time to time; with an empty log, or one with
      // expired records, a new instance must still accept new orders.
      const fleet = ClaimFleet.create()
      fleet.requestClaim(fleet.start(), { idempotencyKey: 'old' })
      await fleet.advance(RETENTION_MS + 1000)
      const restarted = fleet.start()
      await fleet.advance()
      const answer = fleet.requestClaim(restarted, { idempotencyKey: 'new' })
      await fleet.advance()
      t.is(describeResult(answer), 'granted')
    })

    it('relies only on records that it has read when the platform promises no retention', async t => {
      // The platform dropped records sooner than expected; an instance that
      // started after that cannot know of older claims.
      const fleet = ClaimFleet.create()
      const createdAt = fleet.clock.now()
      fleet.requestClaim(fleet.start(), { idempotencyKey: 'order', createdAt })
      await fleet.advance(RETENTION_MS + 1000)
      const restarted = fleet.start(0)
      await fleet.advance()
      const answer = fleet.requestClaim(restarted, { idempotencyKey: 'other', createdAt: fleet.clock.now() - 1000 })
      await fleet.advance()
      t.is(describeResult(answer), 'claim_expired may_have_run')
    })

    it('refuses a key dated in the future', async t => {
      // A key from a client whose clock runs ahead would outlive its claim.
      const fleet = ClaimFleet.create()
      const answer = fleet.requestClaim(fleet.start(), { idempotencyKey: 'order', createdAt: fleet.clock.now() + MAX_CLOCK_AHEAD_MS + 5000 })
      await fleet.advance()
      t.is(describeResult(answer), 'bad_request not_run')
    })
  })
})
