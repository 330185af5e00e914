import { Failure, FailureCode, ListedKind, ListedState, Verdict } from 'foxtaillever-core'
import { Grant } from 'foxtaillever-fleet'
import { describe, it } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { configurationOf, CoreRig, endOf, connectionLost, connectionRefused, startOf, unknownStream } from '../__fixtures__/coreRig.js'

describe('a request', () => {
  describe('whose engine loses the stream', () => {
    it('is resumed at the same engine, without a lost or repeated token', async t => {
      // The connection breaks in the middle of the answer. The engine still has
      // the stream and repeats an event that the caller has already received.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order')
      await rig.advance()
      const first = rig.lastOpened()
      first.listener.sent()
      first.listener.started(startOf('a-1'))
      first.listener.token(1, '')
      first.listener.failed(connectionLost)
      await rig.advance()
      const again = rig.lastOpened()
      t.true(again.isResume)
      again.listener.started(startOf('a-1'))
      again.listener.token(1, '')
      again.listener.token(2, '')
      again.listener.finished(endOf(2))
      t.deepEqual(caller.received, ['started', 'token 1', 'moved', 'token 2', 'finished'])
    })

    it('continues at another engine without sending the headers again', async t => {
      // The engine crashes between its start event and its first token. The start
      // at the second engine must not write the headers a second time, which
      // would break the answer.
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order')
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.started(startOf('a-1'))
      rig.lastOpened().listener.failed(connectionLost)
      await rig.advance()
      rig.lastOpened().listener.failed(unknownStream)
      await rig.advance(500)
      const second = rig.lastOpened()
      t.false(second.isResume)
      second.listener.sent()
      second.listener.started(startOf('b-1'))
      second.listener.token(1, '')
      second.listener.finished(endOf(1))
      t.deepEqual(caller.received, ['started', 'moved', 'token 1', 'finished'])
    })

    it('has another id at each attempt, so that a late cancel cannot hit the next one', async t => {
      // The first attempt is cancelled at the engine after the second has begun.
      // With the same id for both, the second would be cancelled silently.
      const rig = CoreRig.create('a')
      rig.submit('order')
      await rig.advance()
      const first = rig.lastOpened()
      first.listener.sent()
      first.listener.failed(connectionLost)
      await rig.advance(500)
      t.not(rig.lastOpened(), first)
      t.deepEqual(rig.cancelled, [first.call.requestId])
      t.not(rig.lastOpened().call.requestId, first.call.requestId)
    })

    it('does not pass on a stream after a gap', async t => {
      const rig = CoreRig.create('a')
      const caller = rig.submit('order')
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.started(startOf('a-1'))
      rig.lastOpened().listener.token(1, '')
      rig.lastOpened().listener.token(3, '')
      await rig.advance()
      t.deepEqual(caller.received, ['started', 'token 1'])
      t.true(rig.lastOpened().isResume)
    })

    it('is not resumed with another stream of the same id after a restart', async t => {
      // The engine restarts and numbers its streams from the beginning, so the id
      // now names another caller's answer.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { idempotent: false })
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.started(startOf('a-1'))
      rig.lastOpened().listener.token(1, '')
      rig.lastOpened().listener.failed(connectionLost)
      await rig.advance()
      rig.lastOpened().listener.started(startOf('a-2'))
      rig.lastOpened().listener.token(2, '')
      t.deepEqual(caller.received, ['started', 'token 1', 'stale ran'])
    })
  })

  describe('that is refused', () => {
    it('gets the worst verdict of all attempts, not that of the last one', async t => {
      // The first attempt is lost after it was sent; all later connections are
      // refused until the deadline. "Not run" would invite a duplicate order.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { deadline: rig.clock.now() + 400 })
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.failed(connectionLost)
      for (let time = 0; time < 600; time += 20) {
        const opened = rig.lastOpened()
        await rig.advance(20)
        if (opened !== rig.lastOpened()) {
          rig.lastOpened().listener.failed(connectionRefused)
        }
      }
      t.is(caller.failure?.verdict, Verdict.MayHaveRun)
    })

    it('gets an answer when its backend server is removed while the claim is written', async t => {
      // An operator removes the server between assignment and sending. The
      // scheduler used to forget such a request, which then hung.
      const rig = CoreRig.create('a')
      const caller = rig.submit('order', { idempotent: false, deadline: rig.clock.now() + 300 })
      rig.claimResult = request => {
        rig.core.configure({ ...configurationOf([]), revision: 2 })
        return Right(Grant.create(request, 1, request.deadline))
      }
      await rig.advance(400)
      t.is(rig.opened.length, 0)
      t.is(caller.failure?.verdict, Verdict.NotRun)
    })
  })

  describe('that may run only once', () => {
    it('is not sent when its claim is refused', async t => {
      const rig = CoreRig.create('a')
      rig.claimResult = () => Left(Failure.create(FailureCode.ClaimLost, Verdict.MayHaveRun, 'Claimed by another.'))
      const caller = rig.submit('order', { idempotent: false })
      await rig.advance()
      t.is(rig.opened.length, 0)
      t.deepEqual(caller.received, ['claim_lost may_have_run'])
    })

    it('is not sent when the deadline passed before its first byte', async t => {
      // The process is suspended between the claim and the connection. The order
      // must not be sent when the process resumes.
      const rig = CoreRig.create('a')
      rig.submit('order', { idempotent: false })
      await rig.advance()
      await rig.clock.advanceBy(4999)
      const { listener } = rig.lastOpened()
      await rig.clock.advanceBy(1)
      t.false(listener.sent())
    })

    it('is retried after proof that it did not run, with one recorded outcome', async t => {
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order', { idempotent: false })
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.failed(Failure.notRun(FailureCode.Leaving, 'This engine is leaving.'))
      await rig.advance(500)
      t.is(rig.opened.length, 2)
      t.true(rig.lastOpened().listener.sent())
      rig.lastOpened().listener.started(startOf('b-1'))
      rig.lastOpened().listener.finished(endOf(0))
      t.deepEqual(caller.received, ['started', 'finished'])
      t.deepEqual(rig.recordedOutcomes, [Verdict.Ran])
    })

    it('is not sent again after a loss without proof', async t => {
      const rig = CoreRig.create('a', 'b')
      const caller = rig.submit('order', { idempotent: false })
      await rig.advance()
      rig.lastOpened().listener.sent()
      rig.lastOpened().listener.failed(connectionLost)
      await rig.advance(500)
      t.is(rig.opened.length, 1)
      t.deepEqual(caller.received, ['connection_lost may_have_run'])
    })
  })

  describe('for a backend server that is leaving', () => {
    it('goes to another server after its refusal, although the list still says live', async t => {
      // The list is seconds old. Its outdated state must not override the refusal.
      const rig = CoreRig.create('a', 'b')
      rig.submit('first')
      await rig.advance()
      const { server, listener } = rig.lastOpened()
      listener.sent()
      listener.failed(Failure.notRun(FailureCode.Leaving, 'This engine is leaving.'))
      rig.core.applyInstanceList([{ name: server, kind: ListedKind.BackendServer, address: server, failureDomain: 'recife', state: ListedState.Live }])
      const before = rig.opened.length
      for (let index = 0; index < 6; index++) {
        rig.submit(`later-${index}`)
        await rig.advance(100)
      }
      t.true(rig.opened.length > before)
      t.deepEqual(rig.opened.slice(before).filter(opened => opened.server === server), [])
    })
  })

  it('gets an outcome when the instance must shut down', async t => {
    // The deadline of the shutdown has come. If the connection were closed without
    // a failure, the caller would not know whether its request ran.
    const rig = CoreRig.create('a')
    const caller = rig.submit('order')
    await rig.advance()
    rig.lastOpened().listener.sent()
    rig.core.failAll()
    t.deepEqual(caller.received, ['leaving may_have_run'])
    t.is(rig.core.inFlight(), 0)
  })
})
