/** What callers get when plain services answer in part, twice, late or with failures of their own. */
import type { Socket } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { PlainRig, startScripted, whole } from '../__fixtures__/plainRig.js'

interface ResettableHandle {
  readonly reset: (done: () => void) => number
}

/** Socket.resetAndDestroy ends the connection first, and the peer sees that. */
function reset (socket: Socket): void {
  const { _handle: handle } = socket as unknown as { readonly _handle: ResettableHandle | null }
  handle?.reset(() => {})
  socket.destroy()
}

function work (socket: Socket): void {
  socket.write(whole('done'))
}

describe('answers of plain services', () => {
  // The service of an export crashes in the middle of an answer that says no
  // length. Passed on as whole, half an export would be filed as the export.
  it('are not passed on as whole when they were cut', async t => {
    const ways: Record<string, (socket: Socket) => void> = {
      'reset without a length': socket => socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => reset(socket)),
      'reset within chunks': socket => socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n4\r\nhalf\r\n', () => reset(socket)),
      'ended before its length': socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf')
    }
    for (const [name, answer] of Object.entries(ways)) {
      const server = await startScripted(t, answer)
      const rig = await PlainRig.start(t, [server.port])
      const told = await rig.call('POST', '/exports')
      t.is(told.status, 502, name)
      t.is(told.headers.get('x-verdict'), 'may_have_run', name)
    }
  })

  it('are asked of another server when a lookup was cut', async t => {
    const cutting = await startScripted(t, socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf'))
    const working = await startScripted(t, work)
    const rig = await PlainRig.start(t, [cutting.port, working.port])
    t.is((await rig.call('GET', '/citations/1')).body, 'done')
  })

  it('are passed on whole when they end with their connection', async t => {
    const server = await startScripted(t, socket => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole'))
    const rig = await PlainRig.start(t, [server.port])
    t.is((await rig.call('POST', '/exports')).body, 'whole')
  })

  // A service answers one call twice. Read by the next call, the second answer
  // would give one client the records of another.
  it('are never those of a call before', async t => {
    const ways: Record<string, (socket: Socket) => void> = {
      together: socket => socket.write(whole('first') + whole('unasked')),
      later: socket => {
        socket.write(whole('first'))
        setImmediate(() => socket.write(whole('unasked')))
      }
    }
    for (const [name, twice] of Object.entries(ways)) {
      const server = await startScripted(t, (socket, call) => call === 0 ? twice(socket) : work(socket))
      const rig = await PlainRig.start(t, [server.port])
      t.is((await rig.call('GET', '/citations/1')).body, 'first', name)
      await new Promise(resolve => server.calls[0]?.once('close', resolve))
      t.is((await rig.call('GET', '/citations/2')).body, 'done', name)
    }
  })

  it('keep their status, body and the headers that callers may see', async t => {
    const server = await startScripted(t, socket => socket.write(whole('gone', '410 Gone', 'content-type: text/plain', 'etag: "7"', 'x-inner: 1')))
    const rig = await PlainRig.start(t, [server.port])
    const { status, body, headers } = await rig.call('GET', '/citations/1')
    t.deepEqual([status, body, headers.get('content-type'), headers.get('etag'), headers.get('content-length')], [410, 'gone', 'text/plain', '"7"', '4'])
    t.is(headers.get('x-inner'), null)
  })

  it('keep the length that a HEAD call asks for', async t => {
    const server = await startScripted(t, socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n'))
    const rig = await PlainRig.start(t, [server.port])
    t.is((await rig.call('HEAD', '/citations/1')).headers.get('content-length'), '1234')
  })

  // A service is busy and says so in its own way. Its callers know what that
  // status means there; told something else, they would not wait.
  it('of a busy service are passed on as they are', async t => {
    for (const status of ['429 Slow Down', '503 Busy', '408 Timeout']) {
      const server = await startScripted(t, socket => socket.write(whole('busy', status)))
      const rig = await PlainRig.start(t, [server.port])
      const answer = await rig.call('POST', '/exports')
      t.is(answer.status, Number(status.slice(0, 3)))
      t.is(answer.body, 'busy')
      t.is(server.calls.length, 1)
    }
  })

  // One server answers a lookup with an error of its own while the other is well.
  it('that are failures are asked of another server where that does no harm', async t => {
    const failing = await startScripted(t, socket => socket.write(whole('failed', '500 Failed')))
    const working = await startScripted(t, work)
    const rig = await PlainRig.start(t, [failing.port, working.port])
    t.is((await rig.call('POST', '/exports')).status, 500)
    t.is((await rig.call('GET', '/citations/1')).body, 'done')
  })
})

describe('silent plain services', () => {
  // A server hangs with a lookup while the other answers within milliseconds.
  // Waited out, the caller has nothing at its deadline.
  it('lose a lookup to another server once it is known what is usual', async t => {
    let isHanging = false
    const hanging = await startScripted(t, socket => { isHanging || work(socket) })
    const working = await startScripted(t, work)
    const rig = await PlainRig.start(t, [hanging.port, working.port])
    const early = rig.call('GET', '/citations/1')
    while (hanging.calls.length === 0) {
      await new Promise(resolve => setImmediate(resolve))
    }
    await early
    isHanging = true
    const late = rig.call('GET', '/citations/2')
    while (hanging.calls.length === 1) {
      await new Promise(resolve => setImmediate(resolve))
    }
    await rig.clock.advanceBy(1000)
    t.is((await late).body, 'done')
  })

  it('have until the deadline with an export', async t => {
    const server = await startScripted(t, () => {})
    const rig = await PlainRig.start(t, [server.port])
    const call = rig.call('POST', '/exports')
    while (server.calls.length === 0) {
      await new Promise(resolve => setImmediate(resolve))
    }
    await rig.clock.advanceBy(2100)
    const { status, headers } = await call
    t.is(status, 504)
    t.is(headers.get('x-verdict'), 'may_have_run')
  })
})
