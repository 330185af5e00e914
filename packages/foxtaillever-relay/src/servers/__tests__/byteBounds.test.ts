import { request, type IncomingMessage } from 'node:http'
import { SystemClock } from 'foxtaillever-core'
import { blockEventLoopUntil, describe, it } from 'foxtaillever-testing'
import { chunk, ScriptedServer } from '../../__fixtures__/scriptedServer.js'
import { drainBody, type BodyExcess } from '../byteBounds.js'

const MAX_BYTES = 1000
const BODY_MS = 80

/** Time for which this process stands still, milliseconds. */
const STALL_MS = 300

async function receiveHead (server: ScriptedServer): Promise<IncomingMessage> {
  const [host, port] = server.address.split(':')
  return await new Promise(resolve => request({ host, port, agent: false }, resolve).on('error', () => {}).end())
}

describe('drainBody', () => {
  // Guards against a server that counts as faulty because this process stood still while its body arrived.
  it('extends the time by a stall of this process', async t => {
    const clock = SystemClock.create()
    const server = await ScriptedServer.start(({ socket }) => {
      socket.write(`HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n${chunk('busy')}`)
      setTimeout(() => socket.write('0\r\n\r\n'), BODY_MS / 2)
    })
    const response = await receiveHead(server)
    const excesses: BodyExcess[] = []
    drainBody(response, { clock, maxBytes: MAX_BYTES, deadline: clock.now() + BODY_MS }, excess => excesses.push(excess))
    blockEventLoopUntil(clock.now() + STALL_MS)
    await new Promise<void>(resolve => response.once('close', () => resolve()))
    t.deepEqual(excesses, [])
    t.true(response.complete)
    server.stop()
  })

  // Guards against a body that is called too large because bytes that came before it are counted.
  it('counts no bytes that came before the body', async t => {
    const clock = SystemClock.create()
    const server = await ScriptedServer.start(({ socket }) => {
      socket.write(`HTTP/1.1 503 Full\r\nfiller: ${'x'.repeat(2 * MAX_BYTES)}\r\ncontent-length: ${MAX_BYTES}\r\n\r\n${'y'.repeat(MAX_BYTES)}`)
    })
    const response = await receiveHead(server)
    const excesses: BodyExcess[] = []
    drainBody(response, { clock, maxBytes: MAX_BYTES, deadline: clock.now() + BODY_MS }, excess => excesses.push(excess))
    await new Promise<void>(resolve => response.once('close', () => resolve()))
    t.deepEqual(excesses, [])
    t.true(response.complete)
    server.stop()
  })
})
