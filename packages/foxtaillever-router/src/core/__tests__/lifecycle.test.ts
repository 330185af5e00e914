import { Failure, FailureCode, ListedKind, ListedState, Verdict } from 'foxtaillever-core'
import { Grant } from 'foxtaillever-fleet'
import { describe, it } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { configurationOf, CoreRig, endOf, lost, refused, startOf, unknownStream } from '../__fixtures__/coreRig.js'

describe('a request', () => {
  describe('whose engine breaks off', () => {
    it('is taken up again at the same engine, without a token lost or doubled', async t => {
      // The connection broke in the middle; the engine still has the stream
      // and repeats an event that the caller already got.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order')
      await rig.pass()
      const first = rig.last()
      first.listener.sent()
      first.listener.started(startOf('a-1'))
      first.listener.token(1, '')
      first.listener.failed(lost)
      await rig.pass()
      const again = rig.last()
      t.true(again.isResume)
      again.listener.started(startOf('a-1'))
      again.listener.token(1, '')
      again.listener.token(2, '')
      again.listener.finished(endOf(2))
      t.deepEqual(caller.heard, ['started', 'token 1', 'moved', 'token 2', 'finished'])
    })

    it('goes on elsewhere with one set of headers', async t => {
      // The engine crashed after it had begun and before its first token; the
      // second engine's start would write the headers again and break the answer.
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order')
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.started(startOf('a-1'))
      rig.last().listener.failed(lost)
      await rig.pass()
      rig.last().listener.failed(unknownStream)
      await rig.pass(500)
      const second = rig.last()
      t.false(second.isResume)
      second.listener.sent()
      second.listener.started(startOf('b-1'))
      second.listener.token(1, '')
      second.listener.finished(endOf(1))
      t.deepEqual(caller.heard, ['started', 'moved', 'token 1', 'finished'])
    })

    it('bears another id at each try, so that a late cancel cannot hit the next', async t => {
      // The first try is cancelled at the engine when the second has begun;
      // by one id for both, the second would end without a word.
      const rig = CoreRig.create('a')
      rig.submit('order')
      await rig.pass()
      const first = rig.last()
      first.listener.sent()
      first.listener.failed(lost)
      await rig.pass(500)
      t.not(rig.last(), first)
      t.deepEqual(rig.cancelled, [first.call.requestId])
      t.not(rig.last().call.requestId, first.call.requestId)
    })

    it('passes no gap on', async t => {
      const rig = CoreRig.create('a')
      const caller = rig.submit('order')
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.started(startOf('a-1'))
      rig.last().listener.token(1, '')
      rig.last().listener.token(3, '')
      await rig.pass()
      t.deepEqual(caller.heard, ['started', 'token 1'])
      t.true(rig.last().isResume)
    })

    it('does not go on with another engine\'s stream of the same id', async t => {
      // The engine restarted and numbers its streams anew: the id now names
      // another caller's answer.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { idempotent: false })
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.started(startOf('a-1'))
      rig.last().listener.token(1, '')
      rig.last().listener.failed(lost)
      await rig.pass()
      rig.last().listener.started(startOf('a-2'))
      rig.last().listener.token(2, '')
      t.deepEqual(caller.heard, ['started', 'token 1', 'stale ran'])
    })
  })

  describe('that is refused', () => {
    it('is told what an earlier try may have done, not only the last', async t => {
      // The first engine took the request and was lost; the second refused the
      // connection until the deadline. "Not run" would invite a doubled order.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { deadline: rig.clock.now() + 400 })
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.failed(lost)
      for (let time = 0; time < 600; time += 20) {
        const opened = rig.last()
        await rig.pass(20)
        if (opened !== rig.last()) {
          rig.last().listener.failed(refused)
        }
      }
      t.is(caller.failure?.verdict, Verdict.MayHaveRun)
    })

    it('gets an answer when its backend server was removed while it was claimed', async t => {
      // An operator removes the server in the moment between; the request was
      // forgotten by the scheduler and hung.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { idempotent: false, deadline: rig.clock.now() + 300 })
      rig.claimResult = request => {
        rig.core.configure({ ...configurationOf([]), revision: 2 })
        return Right(Grant.create(request, 1, request.deadline))
      }
      await rig.pass(400)
      t.is(rig.opened.length, 0)
      t.is(caller.failure?.verdict, Verdict.NotRun)
    })
  })

  describe('that may run only once', () => {
    it('is not sent when its claim is refused', async t => {
      const rig = CoreRig.create('a')
      rig.claimResult = () => Left(Failure.create(FailureCode.ClaimLost, Verdict.MayHaveRun, 'Claimed by another.'))
      const caller = rig.submit('order', { idempotent: false })
      await rig.pass()
      t.is(rig.opened.length, 0)
      t.deepEqual(caller.heard, ['claim_lost may_have_run'])
    })

    it('is held back when the deadline passed before its first byte', async t => {
      // The process was stopped between the claim and the connection. The
      // order must not leave when it wakes.
      const rig = CoreRig.create('a')
      rig.submit('order', { idempotent: false })
      await rig.pass()
      await rig.clock.advanceBy(4999)
      const { listener } = rig.last()
      await rig.clock.advanceBy(1)
      t.false(listener.sent())
    })

    it('is tried again after proof that it did not run, and settled once', async t => {
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order', { idempotent: false })
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.failed(Failure.notRun(FailureCode.Leaving, 'This engine is leaving.'))
      await rig.pass(500)
      t.is(rig.opened.length, 2)
      t.true(rig.last().listener.sent())
      rig.last().listener.started(startOf('b-1'))
      rig.last().listener.finished(endOf(0))
      t.deepEqual(caller.heard, ['started', 'finished'])
      t.deepEqual(rig.settled, [Verdict.Ran])
    })

    it('is not sent again after a loss without proof', async t => {
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order', { idempotent: false })
      await rig.pass()
      rig.last().listener.sent()
      rig.last().listener.failed(lost)
      await rig.pass(500)
      t.is(rig.opened.length, 1)
      t.deepEqual(caller.heard, ['connection_lost may_have_run'])
    })
  })

  describe('for a backend server that is leaving', () => {
    it('goes elsewhere from its refusal on, though the list still says live', async t => {
      // The list is seconds old. Its word of before must not bring the server back.
      const rig = CoreRig.create('a', 'b')
      rig.submit('first')
      await rig.pass()
      const { server, listener } = rig.last()
      listener.sent()
      listener.failed(Failure.notRun(FailureCode.Leaving, 'This engine is leaving.'))
      rig.core.observeList([{ name: server, kind: ListedKind.BackendServer, address: server, failureDomain: 'recife', state: ListedState.Live }])
      const before = rig.opened.length
      for (let index = 0; index < 6; index++) {
        rig.submit(`later-${index}`)
        await rig.pass(100)
      }
      t.true(rig.opened.length > before)
      t.deepEqual(rig.opened.slice(before).filter(opened => opened.server === server), [])
    })
  })

  it('has a last word when the instance must end', async t => {
    // The shutdown's deadline came; a cut without a word would leave the
    // caller to guess.
    const rig = CoreRig.create('a')
    const caller = rig.submit('order')
    await rig.pass()
    rig.last().listener.sent()
    rig.core.endAll()
    t.deepEqual(caller.heard, ['leaving may_have_run'])
    t.is(rig.core.inFlight(), 0)
  })
})
