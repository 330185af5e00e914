import { describe, it } from 'foxtaillever-testing'
import { CallerThread, isWhole } from '../__fixtures__/callerThread.js'
import { LATE_MS, startLateServer, stall } from '../__fixtures__/lateServer.js'

const CONNECTIONS = 60

const REQUEST = 'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody'

describe('a request that arrived while an instance that limits new connections was late', () => {
  // Guards against a whole request that gets neither an answer nor a refusal, since its connection is closed unread.
  it('gets a whole answer', async t => {
    const callers = await CallerThread.start()
    const { server, port, client } = await startLateServer()
    const sent = callers.send({ port, connections: CONNECTIONS, bytes: REQUEST })
    stall(LATE_MS)
    const results = await sent
    client.destroy()
    server.close()
    await callers.stop()
    t.is(results.filter(result => !isWhole(result)).length, 0)
  })
})
