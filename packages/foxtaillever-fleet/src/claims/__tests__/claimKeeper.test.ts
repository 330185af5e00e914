import { Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { AHEAD_MS } from '../claimFold.js'
import { ClaimFleet, RETENTION_MS, grantOf, nameResult } from '../__fixtures__/claimFleet.js'

describe('claims', () => {
  describe('through several instances', () => {
    it('grants one of two that race', async t => {
      // A driver's app gives up waiting and sends the order again through
      // another instance while the first sending is still being claimed.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const answers = [fleet.ask(one, { idempotencyKey: 'order' }), fleet.ask(other, { idempotencyKey: 'order' })]
      await fleet.pass()
      t.deepEqual(answers.map(nameResult).sort(), ['claim_lost may_have_run', 'granted'])
    })

    it('tells a loser how the winner ended', async t => {
      // The confirmation was lost on the way; the caller asks again.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const first = fleet.ask(one, { idempotencyKey: 'order' })
      await fleet.pass()
      grantOf(first).use(fleet.clock)
      one.keeper.settle(grantOf(first), Verdict.Ran)
      await fleet.pass(2000)
      const again = fleet.ask(other, { idempotencyKey: 'order' })
      await fleet.pass()
      t.is(nameResult(again), 'claim_lost ran')
    })

    it('frees a key whose owner proves that nothing ran', async t => {
      // The backend server refused the connection, so the order can be sent
      // again under its key; otherwise it could never be placed.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const first = fleet.ask(one, { idempotencyKey: 'order' })
      await fleet.pass()
      one.keeper.settle(grantOf(first), Verdict.NotRun)
      await fleet.pass(2000)
      const again = fleet.ask(other, { idempotencyKey: 'order' })
      await fleet.pass()
      t.is(nameResult(again), 'granted')
    })

    it('refuses another body under the same key', async t => {
      // A client library reuses a key by mistake; the second order is another.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      fleet.ask(one, { idempotencyKey: 'order' })
      await fleet.pass()
      const reused = fleet.ask(other, { idempotencyKey: 'order', digest: 'other body' })
      await fleet.pass()
      t.is(nameResult(reused), 'key_reused not_run')
    })

    it('batches claims into few appends', async t => {
      // A burst of 500 orders before sunrise must not use up the log's rate.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answers = Array.from({ length: 500 }, (_, order) => fleet.ask(member, { idempotencyKey: `order-${order}` }))
      await fleet.pass()
      t.true(answers.every(answer => nameResult(answer) === 'granted'))
      t.true(member.reader.offset() <= 2)
    })
  })

  describe('when the log fails', () => {
    it('finds a claim whose answer was lost', async t => {
      // The append took effect but its answer did not come back. Repeating it
      // would lose against itself; the log is read instead.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ lostAnswers: 1 })
      const answer = fleet.ask(member, { idempotencyKey: 'order' })
      await fleet.pass()
      t.is(nameResult(answer), 'granted')
      t.is(member.reader.offset(), 1)
    })

    it('refuses, not run, after a bounded wait while the log is down', async t => {
      // Nobody may send an order unclaimed; the caller learns it within 3 s.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ outage: true })
      const answer = fleet.ask(member, { idempotencyKey: 'order', timeoutMs: 60_000 })
      await fleet.pass(3100)
      t.is(nameResult(answer), 'log_unavailable not_run')
      const retryAt = answer.result?.swap().map(failure => failure.retryAt).extract() as number | undefined
      t.true(retryAt !== undefined && retryAt > fleet.clock.now(), 'the caller learns when to come back')
      fleet.model.setFaults({ outage: false })
      await fleet.pass(5000)
      t.is(member.reader.offset(), 0)
    })

    it('grants after a short outage within the wait', async t => {
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      fleet.model.setFaults({ outage: true })
      const answer = fleet.ask(member, { idempotencyKey: 'order' })
      await fleet.pass(1000)
      fleet.model.setFaults({ outage: false })
      await fleet.pass(1000)
      t.is(nameResult(answer), 'granted')
    })

    it('frees a claim that turns up after its request was refused', async t => {
      // The append took effect while this instance was cut off from the log.
      // Its caller was told "not run", so the key must not stay taken.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      await fleet.pass(10)
      const refused = fleet.ask(one, { idempotencyKey: 'order' })
      await fleet.pass(22)
      one.log.isPartitioned = true
      await fleet.pass(5000)
      t.is(nameResult(refused), 'log_unavailable not_run')
      t.truthy(other.fold.find(JSON.stringify(['cooperative', 'order'])))
      one.log.isPartitioned = false
      await fleet.pass(5000)
      const again = fleet.ask(other, { idempotencyKey: 'order' })
      await fleet.pass()
      t.is(nameResult(again), 'granted')
    })
  })

  describe('when an owner dies or is paused', () => {
    it('never runs again what a dead owner may have sent', async t => {
      // The instance was replaced between its claim and the answer. Whether
      // the order was placed is unknown, so it is not placed again.
      const fleet = ClaimFleet.create()
      const dying = fleet.start()
      const first = fleet.ask(dying, { idempotencyKey: 'order' })
      await fleet.pass()
      t.is(nameResult(first), 'granted')
      dying.reader.stop()
      const replacement = fleet.start()
      await fleet.pass(1_000_000)
      const again = fleet.ask(replacement, { idempotencyKey: 'order', createdAt: fleet.clock.now() - 1_000_000 })
      await fleet.pass()
      t.is(nameResult(again), 'claim_lost may_have_run')
    })

    it('sends nothing after a pause beyond the deadline', async t => {
      // The process was stopped with the grant in hand. Its caller has long
      // been answered, so the order must not leave when it wakes.
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answer = fleet.ask(member, { idempotencyKey: 'order', timeoutMs: 1000 })
      await fleet.pass()
      const grant = grantOf(answer)
      await fleet.pass(1000)
      const used = grant.use(fleet.clock)
      t.true(used.isLeft())
    })

    it('uses a grant for one sending at a time', async t => {
      const fleet = ClaimFleet.create()
      const member = fleet.start()
      const answer = fleet.ask(member, { idempotencyKey: 'order' })
      await fleet.pass()
      const grant = grantOf(answer)
      t.true(grant.use(fleet.clock).isRight())
      t.true(grant.use(fleet.clock).isLeft())
      grant.giveBack()
      t.true(grant.use(fleet.clock).isRight())
    })
  })

  describe('beyond the log\'s retention', () => {
    it('refuses a key that is older than what the log keeps', async t => {
      // A phone that lay in a drawer for a day sends its order again. The log
      // has forgotten the claim, though older instances may remember it; running
      // the order now would double it.
      const fleet = ClaimFleet.create()
      const [one, other] = [fleet.start(), fleet.start()]
      const createdAt = fleet.clock.now()
      fleet.ask(one, { idempotencyKey: 'order', createdAt })
      await fleet.pass(RETENTION_MS + 1000)
      const later = fleet.start()
      await fleet.pass()
      const answers = [one, other, later].map(member => fleet.ask(member, { idempotencyKey: 'order', createdAt }))
      await fleet.pass()
      t.deepEqual(answers.map(nameResult), ['claim_lost may_have_run', 'claim_lost may_have_run', 'claim_expired may_have_run'])
    })

    it('lets a restarted instance claim new keys at once', async t => {
      // Each instance is replaced now and then; with an empty or aged log the
      // newcomer must still take today's orders.
      const fleet = ClaimFleet.create()
      fleet.ask(fleet.start(), { idempotencyKey: 'old' })
      await fleet.pass(RETENTION_MS + 1000)
      const restarted = fleet.start()
      await fleet.pass()
      const answer = fleet.ask(restarted, { idempotencyKey: 'new' })
      await fleet.pass()
      t.is(nameResult(answer), 'granted')
    })

    it('trusts only what it has read when the platform promises no retention', async t => {
      // The platform dropped records sooner than expected; an instance that
      // started after that cannot know of older claims.
      const fleet = ClaimFleet.create()
      const createdAt = fleet.clock.now()
      fleet.ask(fleet.start(), { idempotencyKey: 'order', createdAt })
      await fleet.pass(RETENTION_MS + 1000)
      const restarted = fleet.start(0)
      await fleet.pass()
      const answer = fleet.ask(restarted, { idempotencyKey: 'other', createdAt: fleet.clock.now() - 1000 })
      await fleet.pass()
      t.is(nameResult(answer), 'claim_expired may_have_run')
    })

    it('refuses a key dated in the future', async t => {
      // A phone whose clock runs ahead would make its key outlive the claim.
      const fleet = ClaimFleet.create()
      const answer = fleet.ask(fleet.start(), { idempotencyKey: 'order', createdAt: fleet.clock.now() + AHEAD_MS + 5000 })
      await fleet.pass()
      t.is(nameResult(answer), 'bad_request not_run')
    })
  })
})
