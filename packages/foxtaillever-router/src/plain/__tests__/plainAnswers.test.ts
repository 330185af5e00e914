/** What callers get when plain services answer in part, twice, late or with failures of their own. */
import { bodyOf, respondAs, ServerBehaviour } from 'foxtaillever-relay/__fixtures__/serverBehaviour'
import { wholeAnswer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it } from 'foxtaillever-testing'
import { PlainRig } from '../__fixtures__/plainRig.js'

const wholeBody = bodyOf({ id: '' })

function playing (way: ServerBehaviour): Answer {
  return arrival => respondAs(way, false, arrival)
}

describe('answers of plain services', () => {
  // The service of an export crashes in the middle of an answer that says no
  // length. Passed on as whole, half an export would be filed as the export.
  it('are not passed on as whole when they were cut', async t => {
    for (const way of [ServerBehaviour.UnframedReset, ServerBehaviour.ResetInBody, ServerBehaviour.CutInBody, ServerBehaviour.CutInHead]) {
      const rig = await PlainRig.start(t, playing(way))
      const { status, headers } = await rig.call('POST', '/exports')
      t.is(status, 502, way)
      t.is(headers.get('x-verdict'), 'may_have_run', way)
    }
  })

  it('are asked of another server when a lookup was cut', async t => {
    const rig = await PlainRig.start(t, playing(ServerBehaviour.CutInBody), playing(ServerBehaviour.Unframed))
    t.is((await rig.call('GET', '/citations/1')).body, wholeBody)
  })

  // A service answers one call twice. Read by the next call, the second answer
  // would give one client the records of another.
  it('are never those of a call before', async t => {
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

  it('keep the length that a HEAD call asks for', async t => {
    const rig = await PlainRig.start(t, ({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n'))
    t.is((await rig.call('HEAD', '/citations/1')).headers.get('content-length'), '1234')
  })

  // A service is busy and says so in its own way. Its callers know what that
  // status means there; told something else, they would not wait.
  it('of a busy service are passed on as they are', async t => {
    for (const status of ['429 Slow Down', '503 Busy', '408 Timeout']) {
      const rig = await PlainRig.start(t, arrival => arrival.socket.write(wholeAnswer(arrival, 'busy', status)))
      const answer = await rig.call('POST', '/exports')
      t.deepEqual([answer.status, answer.body, rig.arrivals], [Number(status.slice(0, 3)), 'busy', [1]])
    }
  })

  // One server answers a lookup with an error of its own while the other is well.
  it('that are failures are asked of another server where that does no harm', async t => {
    const rig = await PlainRig.start(t, playing(ServerBehaviour.Failed), playing(ServerBehaviour.Whole))
    t.is((await rig.call('POST', '/exports')).status, 500)
    t.is((await rig.call('GET', '/citations/1')).body, wholeBody)
  })
})

describe('silent plain services', () => {
  // A server hangs with a lookup while the other answers within milliseconds.
  // Waited out, the caller has nothing at its deadline.
  it('lose a lookup to another server once it is known what is usual', async t => {
    const rig = await PlainRig.start(t, arrival => rig.arrivals[0] === 1 && respondAs(ServerBehaviour.Whole, false, arrival), playing(ServerBehaviour.Whole))
    await rig.call('GET', '/citations/1')
    const late = rig.call('GET', '/citations/2')
    await rig.servers[0]?.arrived(2)
    await rig.clock.advanceBy(1000)
    t.is((await late).body, wholeBody)
  })

  it('have until the deadline with an export', async t => {
    const rig = await PlainRig.start(t, () => {})
    const call = rig.call('POST', '/exports')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(2100)
    const { status, headers } = await call
    t.is(status, 504)
    t.is(headers.get('x-verdict'), 'may_have_run')
  })
})
