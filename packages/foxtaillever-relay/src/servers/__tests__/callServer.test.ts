import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SystemClock } from 'foxtaillever-core'
import { describe, blockEventLoopUntil, it } from 'foxtaillever-testing'
import { callServer } from '../callServer.js'
import { ServerConnections } from '../serverConnections.js'

const DEADLINE_MS = 40

/** More than any answer here has. */
const MAX_BYTES = 10_000

/** Far longer than the call may take. */
const STALL_MS = 200

const call = { method: 'GET', path: '/records', headers: ['Host', 'peer'], body: Buffer.alloc(0) }

/** A server in this process. */
async function listen (answer: RequestListener): Promise<{ readonly server: Server, readonly connections: ServerConnections }> {
  const server = createServer(answer)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return { server, connections: ServerConnections.create({ address: `127.0.0.1:${port}`, part: { total: 1, idle: 1 } }) }
}

function close (server: Server, connections: ServerConnections): void {
  connections.close()
  server.close()
  server.closeAllConnections()
}

describe('callServer', () => {
  const clock = SystemClock.create()

  describe('in a process that is paused past the deadline', () => {
    // The process is paused while a call to the store is in flight. The deadline timer fires before the answer is read,
    // the store counts as unreachable, and requests are refused that could be served.
    it('accepts the answer that had arrived', async t => {
      const deadline = clock.now() + DEADLINE_MS
      const { server, connections } = await listen((_request, response) => {
        response.end('known', () => blockEventLoopUntil(deadline + STALL_MS))
      })
      const answer = callServer(connections, call, { clock, deadline, maxBytes: MAX_BYTES })
      t.is((await answer).map(({ status }) => status).extract(), 200)
      close(server, connections)
    })

    // As above, but the call had not been sent yet when the process was paused: the server had no time at all.
    it('gives the server the time that the pause took', async t => {
      const { server, connections } = await listen((_request, response) => { response.end('known') })
      const deadline = clock.now() + DEADLINE_MS
      const answer = callServer(connections, call, { clock, deadline, maxBytes: MAX_BYTES })
      blockEventLoopUntil(deadline + STALL_MS)
      t.is((await answer).map(({ status }) => status).extract(), 200)
      close(server, connections)
    })
  })

  // Guards against calls that fail after a stall that ends before the deadline: the server had hardly any time.
  it('gives the server the time of a stall that ends before the deadline', async t => {
    const { server, connections } = await listen((_request, response) => { response.end('known') })
    const beganAt = clock.now()
    const answer = callServer(connections, call, { clock, deadline: beganAt + DEADLINE_MS, maxBytes: MAX_BYTES })
    blockEventLoopUntil(beganAt + 0.9 * DEADLINE_MS)
    setImmediate(() => blockEventLoopUntil(beganAt + 1.2 * DEADLINE_MS))
    t.is((await answer).map(({ status }) => status).extract(), 200)
    close(server, connections)
  })

  // Guards against a long answer that is aborted while it still arrives, at every instance that reads it.
  it('reads an answer that has begun while chunks arrive, and fails when they stop', async t => {
    const { server, connections } = await listen((request, response) => {
      const last = request.url === '/stalls' ? 2 : 5
      const write = (chunk: number): void => {
        response.write('piece')
        setTimeout(() => chunk < last ? write(chunk + 1) : request.url === '/stalls' || response.end(), DEADLINE_MS / 2)
      }
      write(1)
    })
    const read = async (path: string): Promise<number> => (await callServer(connections, { ...call, path }, { clock, deadline: clock.now() + DEADLINE_MS, maxBytes: MAX_BYTES, chunkTimeoutMs: 10 * DEADLINE_MS })).map(({ body }) => body.length).orDefault(0)
    t.is(await read('/'), 25)
    t.is(await read('/stalls'), 0)
    close(server, connections)
  })

  it('fails at its deadline if nothing answers', async t => {
    const { server, connections } = await listen(() => {})
    t.true((await callServer(connections, call, { clock, deadline: clock.now() + DEADLINE_MS, maxBytes: MAX_BYTES })).isLeft())
    close(server, connections)
  })
})
