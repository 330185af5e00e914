/** What callers receive when plain services answer incompletely, twice, late or with their own failures. */
import { bodyOf, respondAs, ServerBehaviour } from 'foxtaillever-relay/__fixtures__/serverBehaviour'
import { answerPartAndReset, Break, Framing, headLength, stopInHead } from 'foxtaillever-relay/__fixtures__/interruptedAnswers'
import { wholeAnswer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it } from 'foxtaillever-testing'
import { PlainRig } from '../__fixtures__/plainRig.js'

const wholeBody = bodyOf({ id: '' })

/** Larger than what the system buffers of a connection on loopback, bytes. */
const UPLOAD_BYTES = 8 * 1024 * 1024

function playing (way: ServerBehaviour): Answer {
  return arrival => respondAs(way, false, arrival)
}

describe('answers of plain services', () => {
  // The server of an export crashes in the middle of an answer without a length.
  // If the answer passed as complete, half an export would be filed as the export.
  it('are not passed on as complete when they were truncated', async t => {
    for (const way of [ServerBehaviour.UnframedReset, ServerBehaviour.ResetInBody, ServerBehaviour.CutInBody, ServerBehaviour.CutInHead]) {
      const rig = await PlainRig.start(t, playing(way))
      const { status, headers } = await rig.call('POST', '/exports')
      t.is(status, 502, way)
      t.is(headers.get('x-verdict'), 'may_have_run', way)
    }
  })

  it('are requested from another server when the answer to a lookup was truncated', async t => {
    const rig = await PlainRig.start(t, playing(ServerBehaviour.CutInBody), playing(ServerBehaviour.Unframed))
    t.is((await rig.call('GET', '/citations/1')).body, wholeBody)
  })

  // Guards against a call that has run and is answered with bytes that are no answer, or is never answered.
  it('are not passed on if their status is none of a final answer', async t => {
    for (const status of ['000', '101', '700']) {
      const rig = await PlainRig.start(t, arrival => arrival.socket.write(wholeAnswer(arrival, 'odd', `${status} Odd`)), playing(ServerBehaviour.Whole))
      const { status: answered, headers } = await rig.call('POST', '/exports')
      t.deepEqual([answered, headers.get('x-verdict')], [502, 'may_have_run'], status)
      t.is((await rig.call('GET', '/citations/1')).body, wholeBody, status)
    }
  })

  // Guards against a part of a head that becomes a whole answer with an empty body.
  it('are none if they stop in their head', async t => {
    for (const how of Object.values(Break)) {
      for (let length = 0; length < headLength('', false); length += 7) {
        const rig = await PlainRig.start(t, stopInHead(length, how, false))
        const { status, headers } = await rig.call('POST', '/exports')
        t.deepEqual([status, headers.get('x-verdict')], [502, 'may_have_run'], `${length} bytes, ${how}`)
      }
    }
  })

  // Guards against a part of an answer that looks whole, since an error of the upload hides the reset of the answer.
  it('are not whole if their server resets while it is sent the call', async t => {
    for (const framing of Object.values(Framing)) {
      for (const afterMs of [0, 20]) {
        const rig = await PlainRig.startEarly(t, answerPartAndReset(framing, afterMs))
        const { status, headers } = await rig.call('POST', '/exports', { body: Buffer.alloc(UPLOAD_BYTES), headers: { 'content-type': 'application/octet-stream' } })
        t.deepEqual([status, headers.get('x-verdict')], [502, 'may_have_run'], `${framing}, reset after ${afterMs} ms`)
        t.regex(rig.servers[0]?.arrivals[0]?.head ?? '', new RegExp(`content-length: ${UPLOAD_BYTES}`))
      }
    }
  })

  // A service answers one call twice. If the next call received the second
  // answer, one client would see the records of another.
  it('are never those of an earlier call', async t => {
    for (const way of [ServerBehaviour.WholeAndAnother, ServerBehaviour.WholeThenLate]) {
      const rig = await PlainRig.start(t, arrival => respondAs(rig.arrivals[0] === 1 ? way : ServerBehaviour.Whole, false, arrival))
      t.is((await rig.call('GET', '/citations/1')).body, wholeBody, way)
      await rig.servers[0]?.closed(0)
      t.is((await rig.call('GET', '/citations/2')).body, wholeBody, way)
    }
  })

  it('keep their status, body and the headers that callers may see', async t => {
    const rig = await PlainRig.start(t, arrival => arrival.socket.write(wholeAnswer(arrival, 'gone', '410 Gone', 'content-type: text/plain', 'etag: "7"')))
    const { status, body, headers } = await rig.call('GET', '/citations/1')
    t.deepEqual([status, body, headers.get('content-type'), headers.get('etag'), headers.get('content-length')], [410, 'gone', 'text/plain', '"7"', '4'])
    t.is(headers.get('stamp'), null)
  })

  it('keep the content length of a HEAD call', async t => {
    const rig = await PlainRig.start(t, ({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n'))
    t.is((await rig.call('HEAD', '/citations/1')).headers.get('content-length'), '1234')
  })

  // A service is busy and answers with its own status. Its callers know this
  // status; with another one they would not wait.
  it('of a busy service are passed on as they are', async t => {
    for (const status of ['429 Slow Down', '503 Busy', '408 Timeout']) {
      const rig = await PlainRig.start(t, arrival => arrival.socket.write(wholeAnswer(arrival, 'busy', status)))
      const answer = await rig.call('POST', '/exports')
      t.deepEqual([answer.status, answer.body, rig.arrivals], [Number(status.slice(0, 3)), 'busy', [1]])
    }
  })

  // One server answers a lookup with an error while the other one works.
  it('that are failures are requested from another server if the call may be repeated', async t => {
    const rig = await PlainRig.start(t, playing(ServerBehaviour.Failed), playing(ServerBehaviour.Whole))
    t.is((await rig.call('POST', '/exports')).status, 500)
    t.is((await rig.call('GET', '/citations/1')).body, wholeBody)
  })
})

describe('silent plain services', () => {
  // A server hangs on a lookup while the other one answers within milliseconds.
  // Without a second attempt, the caller has no answer at its deadline.
  it('lose a lookup to another server once the usual response time is known', async t => {
    const rig = await PlainRig.start(t, arrival => rig.arrivals[0] === 1 && respondAs(ServerBehaviour.Whole, false, arrival), playing(ServerBehaviour.Whole))
    await rig.call('GET', '/citations/1')
    const late = rig.call('GET', '/citations/2')
    await rig.servers[0]?.arrived(2)
    await rig.clock.advanceBy(1000)
    t.is((await late).body, wholeBody)
  })

  it('have until the deadline to answer an export', async t => {
    const rig = await PlainRig.start(t, () => {})
    const call = rig.call('POST', '/exports')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(2100)
    const { status, headers } = await call
    t.is(status, 504)
    t.is(headers.get('x-verdict'), 'may_have_run')
  })
})
