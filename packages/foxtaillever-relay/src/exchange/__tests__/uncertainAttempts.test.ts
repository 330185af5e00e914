/** How requests end after an attempt whose outcome is uncertain for a while. */
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../../__fixtures__/relayRig.js'
import { wholeAnswer } from '../../__fixtures__/scriptedServer.js'
import { AnswerStep, isolateAccount, playAnswers, type Step } from '../../__fixtures__/stepwiseAnswers.js'
import { Repeatability } from '../../model/routing.js'

const { Silence, FirstSilence, Half, Byte, Whole, Rest, Refuse, Lose, HoldChoice, Choose, Block, Isolate } = AnswerStep

describe('a request whose silent server states later that it did not run it', () => {
  // Guards against 502 (may have run) for a request that ran nowhere.
  it('is refused as not run if no other server takes it', async t => {
    const { status, body } = await playAnswers({}, 1, [[Silence], [Refuse]])
    t.is(status, 503)
    t.regex(body, /"not_run"/)
  })

  // Guards against a silence that uses up an attempt although the server did not run the request.
  it('has as many attempts left as without the silence', async t => {
    const after: Step[] = [[Refuse], [Lose, 1], [Whole, 2]]
    const plain = await playAnswers({ mostAttempts: 2 }, 3, after)
    const silent = await playAnswers({ mostAttempts: 2 }, 3, [[Silence], ...after])
    t.deepEqual(plain, { status: 200, body: 'server2', arrivals: '1,1,1', outstanding: '0,0,0' })
    t.deepEqual(silent, plain)
  })

  // Guards against "not run" for a request that was withdrawn from a server and may have begun there.
  it('may still have run at a server from which it was withdrawn', async t => {
    const { status, body } = await playAnswers({ mostAttempts: 3 }, 1, [[Isolate], [Silence], [Refuse]])
    t.is(status, 502)
    t.regex(body, /"may_have_run"/)
  })
})

describe('a request with three attempts whose first two servers are silent', () => {
  // Guards against giving up the second server although no third one takes the request.
  it('gets the answer of the second one', async t => {
    const whole = await playAnswers({ mostAttempts: 3 }, 2, [[Silence], [Silence], [Whole, 1]])
    t.deepEqual(whole, { status: 200, body: 'server1', arrivals: '1,1', outstanding: '0,0' })
  })

  it('gets the answer of the second one if the first one is lost', async t => {
    const whole = await playAnswers({ mostAttempts: 3 }, 2, [[Silence], [Silence], [Lose], [Whole, 1]])
    t.deepEqual(whole, { status: 200, body: 'server1', arrivals: '1,1', outstanding: '0,0' })
  })

  it('gets the answer of the first one', async t => {
    const whole = await playAnswers({ mostAttempts: 3 }, 2, [[Silence], [Silence], [Whole]])
    t.deepEqual(whole, { status: 200, body: 'server0', arrivals: '1,1', outstanding: '0,0' })
  })

  it('gets the answer of a third one', async t => {
    const whole = await playAnswers({ mostAttempts: 3 }, 3, [[Silence], [Silence], [Whole, 2]])
    t.deepEqual(whole, { status: 200, body: 'server2', arrivals: '1,1,1', outstanding: '0,0,0' })
  })

  it('gets the answer of a third one if the first one is lost', async t => {
    const whole = await playAnswers({ mostAttempts: 3 }, 3, [[Silence], [Silence], [Lose], [Whole, 2]])
    t.deepEqual(whole, { status: 200, body: 'server2', arrivals: '1,1,1', outstanding: '0,0,0' })
  })
})

describe('a request with three attempts whose third server refuses it', () => {
  // Guards against giving up the second server for a third one that does not take the request.
  it('gets the answer of the second one if the first one is lost', async t => {
    const { status, body } = await playAnswers({ mostAttempts: 3 }, 3, [[FirstSilence], [FirstSilence], [Refuse, 2], [Lose], [Whole, 1]])
    t.deepEqual({ status, body }, { status: 200, body: 'server1' })
  })
})

describe('a request with three attempts for which a third server is chosen', () => {
  const chooses: Step[] = [[FirstSilence], [HoldChoice], [FirstSilence]]
  const scenarios: ReadonlyArray<{ readonly steps: Step[], readonly body: string, readonly arrivals: string }> = [
    { steps: [[Whole], [Choose]], body: 'server0', arrivals: '1,1,0' },
    { steps: [[Whole, 1], [Choose]], body: 'server1', arrivals: '1,1,0' },
    { steps: [[Lose, 1], [Choose], [Whole, 2]], body: 'server2', arrivals: '1,1,1' },
    { steps: [[Lose], [Choose], [Whole, 2]], body: 'server2', arrivals: '1,1,1' },
    { steps: [[Lose], [Whole, 1], [Choose]], body: 'server1', arrivals: '1,1,0' },
    { steps: [[Lose], [Lose, 1], [Choose], [Whole, 2]], body: 'server2', arrivals: '1,1,1' },
    { steps: [[Lose, 1], [Lose], [Choose], [Whole, 2]], body: 'server2', arrivals: '1,1,1' }
  ]

  // Guards against a request that waits for a choice which was dropped, or is sent once more by a second one.
  for (const { steps, body, arrivals } of scenarios) {
    it(`gets one whole answer: ${steps.map(step => step.join(' ')).join(', ')}`, async t => {
      t.deepEqual(await playAnswers({ mostAttempts: 3 }, 4, [...chooses, ...steps]), { status: 200, body, arrivals: `${arrivals},0`, outstanding: '0,0,0,0' })
    })
  }
})

describe('a request whose server goes on after another one has it, and is lost then', () => {
  const pauses: Step[] = [[Half], [Silence], [Half, 1], [Byte]]

  // Guards against more servers than the route allows.
  it('goes to no third server with two attempts', async t => {
    const { arrivals } = await playAnswers({ mostAttempts: 2 }, 3, [...pauses, [Block, 1], [Lose], [Whole, 2]])
    t.is(arrivals, '1,1,0')
  })

  it('goes to the other one again', async t => {
    const end = await playAnswers({ mostAttempts: 2 }, 3, [...pauses, [Lose], [Whole, 1]])
    t.deepEqual(end, { status: 200, body: 'server1', arrivals: '1,2,0', outstanding: '0,0,0' })
  })
})

describe('a request that waits with a former cache salt', () => {
  // Guards against withdrawing a request that no server takes again.
  it('keeps its place while its server takes no further requests', async t => {
    const end = await playAnswers({ mostAttempts: 2 }, 1, [[Block], [Isolate], [Half], [Rest]])
    t.deepEqual(end, { status: 200, body: 'server0', arrivals: '1', outstanding: '0' })
  })

  // Guards against a request that is withdrawn and then refused, so that it may have run and gets no answer.
  it('gets an answer or a truthful refusal if its server refuses it after the withdrawal', async t => {
    const { status } = await playAnswers({ mostAttempts: 2 }, 1, [[Isolate], [Refuse]])
    t.not(status, 502)
  })

  // Guards against a server that is passed over because the request was withdrawn while it connected there.
  it('is sent to its only server if it was withdrawn before it was sent', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, arrival => arrival.socket.write(wholeAnswer(arrival, 'ok')))
    rig.directory.get('s0')?.weights.set('m', 1)
    let isFirst = true
    rig.onLoadChanged = () => {
      if (isFirst) {
        isFirst = false
        queueMicrotask(() => isolateAccount(rig))
      }
    }
    const text = await rig.sendRequest('a', '', ['model: m'])
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })
})
