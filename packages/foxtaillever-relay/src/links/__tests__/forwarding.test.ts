import { Verdict } from 'foxtaillever-core'
import { Holding, Reservation } from 'foxtaillever-policy/relay/processBudget'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import { describe, it } from 'foxtaillever-testing'
import { wholeAnswer } from '../../__fixtures__/scriptedServer.js'
import type { Attempt } from '../../attempts/attempt.js'
import { AttemptFailureKind, meaningOf } from '../../attempts/attemptFailure.js'
import { answerWell, causes, ForwardingRig } from '../__fixtures__/forwardingRig.js'

/** Long enough that a server may have run a request, milliseconds. */
const RUN_MS = 100

const neverRun = [AttemptFailureKind.Unreachable, AttemptFailureKind.Closed]

describe('a request that another instance carries', () => {
  it('reaches the server as it was sent, and its answer returns', async t => {
    const rig = await ForwardingRig.start(answerWell)
    const { head, body, failure } = await rig.send('r1', 'the body')
    t.is(failure, undefined)
    t.is(head?.status, 200)
    t.is(body, 'ok')
    t.is(rig.scripted.arrivals.length, 1)
    t.deepEqual(rig.outcomes, ['answered'])
    rig.stop()
  })

  // Guards against a carrier that neither passes on an answer with an odd status nor reports it.
  it('is reported as answered with a malformed head', async t => {
    for (const status of ['000', '101', '700']) {
      const rig = await ForwardingRig.start(arrival => { arrival.socket.write(wholeAnswer(arrival, 'odd', `${status} Odd`)) })
      const { head, failure } = await rig.send('r1')
      t.deepEqual([head, failure?.kind, failure?.isReported], [undefined, AttemptFailureKind.Malformed, true], status)
      t.deepEqual(rig.outcomes, ['malformed'])
      rig.stop()
    }
  })

  // Guards against strangers that send requests to servers through an instance.
  it('is not sent if it comes from no instance of the fleet', async t => {
    const rig = await ForwardingRig.start(answerWell)
    rig.members.clear()
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  // Guards against an instance that does for others what a server asked it not to do.
  it('is not sent to a server that stated to the carrying instance that it leaves', async t => {
    const rig = await ForwardingRig.start(answerWell)
    rig.directory.markLeaving('s', rig.clock.now())
    const { failure } = await rig.send('r1')
    t.true(failure !== undefined && neverRun.includes(failure.kind))
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  // Guards against an instance whose memory is filled by requests of others, each within the bounds of its own.
  it('is not sent if the carrying instance has no memory for it, and nothing is held afterwards', async t => {
    const rig = await ForwardingRig.start(answerWell)
    const others = Reservation.create(rig.budget, Holding.Request)
    t.true(others.resize(1_000_000_000))
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    others.release()
    t.is((await rig.send('r2')).head?.status, 200)
    await new Promise(resolve => setTimeout(resolve, RUN_MS))
    t.deepEqual(Object.values(Holding).map(holding => rig.budget.heldBytes(holding)), Object.values(Holding).map(() => 0))
    rig.stop()
  })

  // Guards against two instances without links that send each other's requests back and forth.
  it('is not sent on by an instance whose own link is broken', async t => {
    const rig = await ForwardingRig.start(answerWell)
    rig.isBroken = true
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  it('fails as not sent if the server accepts no connection there either', async t => {
    const rig = await ForwardingRig.start(answerWell)
    rig.scripted.stop()
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Unreachable)
    t.true(failure?.isReported)
    rig.stop()
  })

  // Guards against a second run of a request whose connection to the server was lost at the carrying instance.
  it('fails as one that may have run if the server closes its connection', async t => {
    const rig = await ForwardingRig.start(({ socket }) => { socket.destroy() })
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Lost)
    t.true(failure?.isReported)
    rig.stop()
  })

  it('fails as refused if the server says that it did not run it', async t => {
    const rig = await ForwardingRig.start(({ id, socket }) => { socket.write(`HTTP/1.1 503 Full\r\nrequest-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`) })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Refused)
    rig.stop()
  })

  // Guards against a part of an answer that looks complete after it has passed another instance.
  it('does not look complete if the server breaks off its answer', async t => {
    const rig = await ForwardingRig.start(({ id, socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 10\r\n\r\nok`, () => { socket.destroy() })
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Lost)
    t.is(rig.logged.length, 1)
    t.like(rig.logged[0], { request: 'r1', outcome: AttemptFailureKind.Lost, bytes: 2 })
    t.true(Number(rig.logged[0]?.answeringMs) >= 0)
    rig.stop()
  })

  // Guards against a stream that ends at the instance that asked, of which the carrying instance's log says nothing.
  it('leaves a line if its instance cancels it in the middle of the answer', async t => {
    const rig = await ForwardingRig.start(({ id, socket }) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 10\r\n\r\nok`) })
    const begun = new Promise<Attempt>(resolve => rig.send('r1', '', resolve).catch(t.fail))
    await rig.scripted.arrived(1)
    await new Promise(resolve => setTimeout(resolve, RUN_MS))
    const attempt = await begun
    attempt.cancel()
    await rig.scripted.closed(0)
    t.is(rig.logged.length, 1)
    t.like(rig.logged[0], { request: 'r1', outcome: 'cancelled', bytes: 2 })
    rig.stop()
  })

  // Guards against an answer that ends with its connection and counts as cut, or a cut one that counts as whole.
  it('keeps an answer whole whose end is the end of its connection', async t => {
    const rig = await ForwardingRig.start(({ id, socket }) => { socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\nconnection: close\r\n\r\nall of it`) })
    const { body, failure } = await rig.send('r1')
    t.is(failure, undefined)
    t.is(body, 'all of it')
    rig.stop()
  })

  // Guards against servers that go on working for callers that have left.
  it('is cancelled at the server when its instance cancels it', async t => {
    const closed = new Promise<void>(resolve => {
      ForwardingRig.start(({ socket }) => { socket.once('close', () => resolve()) }).then(async rig => {
        rig.send('r1', '', attempt => setTimeout(() => attempt.cancel(), 50)).catch(() => {})
        await closed
        rig.stop()
      }, () => {})
    })
    await t.notThrowsAsync(closed)
  })

  // Guards against answers of an instance of an earlier release that count as the server's.
  it('was not sent if the other instance knows no forwarding', async t => {
    const rig = await ForwardingRig.start(answerWell, (_, response) => response.writeHead(404).end())
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.Unreachable)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })

  it('goes through no instance that failed to carry one a moment ago', async t => {
    const rig = await ForwardingRig.start(answerWell)
    const { address = '' } = rig.client.forwarderFor(rig.server, { requestId: 'r1', causes }, new Set()) ?? {}
    rig.client.recordFailure(address)
    t.is(rig.client.forwarderFor(rig.server, { requestId: 'r1', causes }, new Set()), undefined)
    t.false(rig.client.isAvailable)
    rig.stop()
  })

  // Guards against crashes that count for nothing, or as the carrying instance's fault, because another instance carried the request.
  it('is recorded as lost by the carrying instance when it crashes the server', async t => {
    const rig = await ForwardingRig.start(({ socket }) => { setTimeout(() => socket.destroy(), RUN_MS) })
    await rig.send('r1')
    t.deepEqual(rig.losses.map(loss => loss.causes), [causes])
    t.is(rig.losses[0]?.loss.server, rig.server.hash)
    rig.stop()
  })

  // Guards against requests that wait for a connection at the carrying instance and crash servers after all instances refuse them.
  it('is not sent by an instance that refuses it', async t => {
    const rig = await ForwardingRig.start(answerWell)
    rig.quarantine = { kind: CauseKind.Level, id: 'second', account: undefined, servers: [], revision: 1, isLifted: false, expiresAt: Infinity }
    const { failure } = await rig.send('r1')
    t.is(failure?.kind, AttemptFailureKind.HeldBack)
    t.is(rig.scripted.arrivals.length, 0)
    rig.stop()
  })
})

describe('an unexpected error in a step of a request that another instance carries', () => {
  // Guards against a carrier that holds a request until its deadline, or reports that it was not sent though it was.
  it('ends it at once with what it proves', async t => {
    const calls: string[] = []
    const counting = await ForwardingRig.start(answerWell)
    counting.onCarrierCall = name => { calls.push(name) }
    await counting.send('r')
    counting.stop()
    t.true(calls.includes('crashes.findQuarantine') && calls.includes('wire.passHeaders'), calls.join())
    for (const [index, name] of calls.entries()) {
      const rig = await ForwardingRig.start(answerWell)
      let left = index
      rig.onCarrierCall = () => {
        if (left-- === 0) {
          throw new RangeError(`thrown by ${name}`)
        }
      }
      const { failure, body } = await rig.send('r')
      const isNotRun = failure !== undefined && meaningOf[failure.kind].verdict === Verdict.NotRun
      t.false(isNotRun && rig.scripted.arrivals.length > 0, `call ${index}, ${name}: ${failure?.kind}`)
      t.true(failure !== undefined || body === 'ok', `call ${index}, ${name}`)
      t.true(name.startsWith('log.') || rig.errors.length > 0, `call ${index}, ${name}: not logged`)
      rig.stop()
    }
  })
})
