import { describe, it } from 'foxtaillever-testing'
import { CallerThread, type CallerResult } from '../__fixtures__/callerThread.js'
import { startLateServer, stall } from '../__fixtures__/lateServer.js'

const CONNECTIONS = 60

/** Longer than a connection may end without an answer after its last byte was sent, milliseconds. */
const LATE_MS = 400

const REQUEST = 'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody'

/** Whether the caller has all bytes of one answer. */
function isWhole ({ answer }: CallerResult): boolean {
  const [head = '', body] = answer.split('\r\n\r\n', 2)
  return head.startsWith('HTTP/1.1 ') && Buffer.byteLength(body ?? '') === Number(/content-length: (\d+)/i.exec(head)?.[1])
}

describe('a request that arrived while an instance that limits new connections was late', () => {
  // Guards against a whole request that gets neither an answer nor a refusal, since its connection is closed unread.
  it('gets a whole answer', async t => {
    const callers = await CallerThread.start()
    const { server, port } = await startLateServer()
    const sent = callers.send({ port, connections: CONNECTIONS, bytes: REQUEST })
    stall(LATE_MS)
    const results = await sent
    server.close()
    await callers.stop()
    t.is(results.filter(result => !isWhole(result)).length, 0)
  })
})
