import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { describe, it } from 'foxtaillever-testing'
import { CallerThread } from '../__fixtures__/callerThread.js'
import { LATE_MS, READ, startBusyServer, startLateServer, stall } from '../__fixtures__/lateServer.js'

const REQUEST = 'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'

const LAST_REQUEST = REQUEST.replace('Host', 'Connection: close\r\nHost')

async function request (socket: Socket): Promise<string> {
  socket.write(REQUEST)
  return String((await once(socket, 'data'))[0])
}

describe('an instance that falls behind', () => {
  // Guards against a crowd whose requests are all read by one instance, and against requests that are read and not answered.
  it('turns new connections away beyond its limit, and serves those that it has', async t => {
    const callers = await CallerThread.start()
    const { server, port, client } = await startLateServer()
    const sent = callers.send({ port, connections: 60, bytes: LAST_REQUEST })
    stall(LATE_MS)
    const results = await sent
    const read = results.filter(({ answer }) => answer.includes(READ)).length
    const refused = results.filter(({ answer }) => answer.includes('"verdict":"not_run"') && !answer.includes(READ))
    t.true(read >= 1 && read < 30, `${read} read`)
    t.is(read + refused.length, 60)
    t.true(refused.every(({ answer }) => /^HTTP\/1.1 503 .*\r\nRetry-After: 0\.\d\d\r\nConnection: close\r\n/s.test(answer)))
    t.regex(await request(client), new RegExp(READ))
    t.regex(await request(client), new RegExp(READ))
    client.destroy()
    server.close()
    await callers.stop()
  })

  // Guards against a crowd that waits in the queue of the listening socket while all timers are in time: each turn of the event loop accepts one connection.
  it('limits new connections because of a long queue', async t => {
    const callers = await CallerThread.start()
    const { server, port } = await startBusyServer(10)
    const results = await callers.send({ port, connections: 200, bytes: LAST_REQUEST })
    server.close()
    await callers.stop()
    const read = results.filter(({ answer }) => answer.includes(READ)).length
    t.true(read > 0 && read < 150, `${read} read`)
  })

  // Guards against a listening socket that stays closed, or opens again after the shutdown.
  it('accepts connections again after a crowd, until it stops', async t => {
    const callers = await CallerThread.start()
    const { server, port, client } = await startLateServer()
    for (let crowd = 0; crowd < 3; crowd += 1) {
      const sent = callers.send({ port, connections: 60, bytes: LAST_REQUEST })
      stall(LATE_MS)
      await sent
      const next = connect(port, '127.0.0.1')
      t.regex(await request(next), /^HTTP\/1.1 /)
      next.destroy()
    }
    client.destroy()
    server.close()
    await new Promise(resolve => setTimeout(resolve, 200))
    const [error] = await once(connect(port, '127.0.0.1'), 'error')
    t.is((error as NodeJS.ErrnoException).code, 'ECONNREFUSED')
    await callers.stop()
  })
})
