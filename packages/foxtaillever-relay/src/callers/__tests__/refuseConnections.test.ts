import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { closesWithin, writeWithoutEnd } from '../../__fixtures__/endlessBytes.js'
import { refuseConnections } from '../refuseConnections.js'

const clock = SystemClock.create()

const ANSWER = Buffer.from('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

const TIMEOUT_MS = 300

/** A connection whose requests are refused. */
async function connectToRefusal (maxBytes = 1_000_000): Promise<{ readonly socket: Socket, readonly text: () => string }> {
  const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => {
    server.close()
    refuseConnections([socket], ANSWER, { clock, maxBytes, deadline: clock.now() + TIMEOUT_MS })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  let text = ''
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  socket.on('error', () => {})
  await once(socket, 'connect')
  return { socket, text: () => text }
}

describe('a refused connection', () => {
  // Guards against a reset that destroys the refusal while its caller still sends the body.
  it('gets the whole answer at once, and may send its body to the end', async t => {
    const { socket, text } = await connectToRefusal()
    socket.write('POST /p HTTP/1.1\r\nContent-Length: 200000\r\n\r\n')
    await once(socket, 'end')
    t.is(text(), ANSWER.toString())
    socket.end(Buffer.alloc(200_000))
    const [hadError] = await once(socket, 'close')
    t.false(hadError)
  })

  // Guards against a connection that is read for ever after its answer was sent.
  it('is closed if its body does not end', async t => {
    const { socket, text } = await connectToRefusal(100_000)
    writeWithoutEnd(socket, 'x'.repeat(1000))
    t.true(await closesWithin(socket, CLOSE_MS))
    t.is(text(), ANSWER.toString())
  })

  // Guards against connections that are kept open although their callers send nothing.
  it('is closed at its deadline if nothing comes', async t => {
    const { socket, text } = await connectToRefusal()
    socket.once('end', () => socket.end())
    t.true(await closesWithin(socket, CLOSE_MS))
    t.is(text(), '')
  })
})
