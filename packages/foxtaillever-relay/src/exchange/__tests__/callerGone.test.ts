import type { Socket } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { readAll, RelayRig, type LogLine } from '../../__fixtures__/relayRig.js'
import { chunk, streamHead } from '../../__fixtures__/scriptedServer.js'

const POLL_MS = 5

/** The line about a stream whose caller does something with its connection after the first event. */
async function lineAfter (act: (socket: Socket) => void): Promise<LogLine | undefined> {
  const rig = await RelayRig.start({ isStream: true, isResumable: true }, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n')))
  const socket = rig.connect()
  const begun = new Promise(resolve => socket.once('data', resolve))
  socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n')
  await begun
  act(socket)
  while (rig.runs.size > 0) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  rig.stop()
  return rig.lines.find(({ msg }) => msg === 'requests: Ended: caller-gone.')
}

// Guards against a stream that ended with its caller's connection, of which nobody can say which side closed it and how.
describe('the log line of a stream whose connection closed', () => {
  it('says that the caller closed it in good order', async t => {
    t.like(await lineAfter(socket => socket.end()), { request: 'a', connection: 'ended', attempt: 'in-flight', events: 1, lastEventId: '1' })
  })

  it('says that the caller reset it', async t => {
    t.like(await lineAfter(socket => socket.resetAndDestroy()), { connection: 'ECONNRESET', events: 1 })
  })

  // Guards against a server that works for a caller which has left after bytes that are no request.
  for (const bytes of ['\x00\x01\r\n\r\n', 'POST /p HT']) {
    it(`says that its caller left after ${JSON.stringify(bytes)}`, async t => {
      t.like(await lineAfter(socket => socket.end(bytes)), { request: 'a', attempt: 'in-flight', events: 1 })
    })
  }
})

describe('a stream whose caller sends bytes that are no request', () => {
  // Guards against an answer that is cut for what follows its request.
  it('is sent to its end, and its connection is closed then', async t => {
    const rig = await RelayRig.start({ isStream: true, isResumable: true }, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n')))
    const socket = rig.connect()
    const text = readAll(socket)
    const begun = new Promise(resolve => socket.once('data', resolve))
    socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n')
    await begun
    socket.write('\x00\x01\r\n\r\n')
    await new Promise(resolve => setTimeout(resolve, 10 * POLL_MS))
    rig.servers[0]?.arrivals[0]?.socket.write(chunk('id: 2\n\n') + '0\r\n\r\n')
    t.regex(await text, /id: 1[^]*id: 2[^]*0\r\n\r\n$/)
    rig.stop()
  })
})
