/** Connections of callers: request bodies, disconnects, slow readers, several requests on one connection. */
import type { Socket } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { Repeatability } from '../model/routing.js'
import { readAll, RelayRig } from '../__fixtures__/relayRig.js'
import { chunk, streamHead, wholeAnswer, type Arrival } from '../__fixtures__/scriptedServer.js'

const echo = (arrival: Arrival): void => { arrival.socket.write(wholeAnswer(arrival, `got ${arrival.body}`)) }

function head (id: string, ...lines: string[]): string {
  return ['POST /p HTTP/1.1', 'host: h', `request-id: ${id}`, ...lines, '', ''].join('\r\n')
}

/** Reads until the bytes contain a text. */
async function readUntil (socket: Socket, text: string): Promise<string> {
  let all = ''
  while (!all.includes(text)) {
    all += await new Promise<string>(resolve => socket.once('data', bytes => resolve(bytes.toString('latin1'))))
  }
  return all
}

describe('bodies', () => {
  it('reach the server complete, however they were sent', async t => {
    const rig = await RelayRig.start({}, echo)
    const socket = rig.connect()
    socket.write(`${head('a', 'transfer-encoding: chunked')}${chunk('one ')}`)
    socket.write(`${chunk('two')}0\r\n\r\n`)
    t.regex(await readUntil(socket, 'two'), /got one two$/)
    socket.write(head('b', 'content-length: 5', 'expect: 100-continue', 'connection: close'))
    await readUntil(socket, '100 Continue')
    socket.write('three')
    t.regex(await readAll(socket), /got three$/)
    rig.stop()
  })

  // A caller sends an endless body. Buffered, it would exhaust the memory of the process.
  it('beyond the limit are refused before they are complete, and reach no server', async t => {
    const rig = await RelayRig.start({}, echo)
    const announced = rig.connect()
    announced.write(head('a', 'content-length: 100001'))
    t.regex(await readAll(announced), /^HTTP\/1.1 413 /)
    const unannounced = rig.connect()
    unannounced.write(`${head('b', 'transfer-encoding: chunked')}${chunk('x'.repeat(100_001))}`)
    t.regex(await readAll(unannounced), /^HTTP\/1.1 413 /)
    t.is(rig.arrivals, 0)
    rig.stop()
  })

  // A body arrives slowly, and its caller has stopped waiting before it is
  // complete. Sent on, the request would occupy a server in vain.
  it('that are complete after the deadline are not sent on', async t => {
    const rig = await RelayRig.start({}, echo)
    const socket = rig.connect()
    socket.write(`${head('a', 'content-length: 5', 'expect: 100-continue', 'connection: close')}`)
    await readUntil(socket, '100 Continue')
    await rig.clock.advanceBy(10_001)
    socket.write('three')
    t.regex(await readAll(socket), /^HTTP\/1.1 503 /)
    t.is(rig.arrivals, 0)
    rig.stop()
  })
})

describe('callers that disconnect', () => {
  // A caller closes its connection before the answer. Until the server is
  // notified, it works in vain while other requests wait.
  it('cancel their request at once', async t => {
    for (const leave of [(socket: Socket) => socket.destroy(), (socket: Socket) => socket.end()]) {
      const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, () => {})
      const socket = rig.connect()
      socket.write(head('a', 'content-length: 0'))
      await rig.servers[0]?.arrived(1)
      leave(socket)
      await rig.servers[0]?.closed(0)
      await rig.clock.advanceBy(10_000)
      t.is(rig.arrivals, 1)
      rig.stop()
    }
  })

  it('in the middle of a stream cancel it at the server', async t => {
    const rig = await RelayRig.start({ isStream: true, isResumable: true }, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n')), () => {})
    const socket = rig.connect()
    socket.write(head('a', 'content-length: 0'))
    await readUntil(socket, 'id: 1')
    socket.destroy()
    await rig.servers[0]?.closed(0)
    t.is(rig.arrivals, 1)
    rig.stop()
  })

  it('while they send cause no attempt at a server', async t => {
    const rig = await RelayRig.start({}, echo)
    const socket = rig.connect()
    socket.write(`${head('a', 'content-length: 5', 'expect: 100-continue')}`)
    await readUntil(socket, '100 Continue')
    socket.write('th')
    socket.destroy()
    t.regex(await rig.sendRequest('b', 'next'), /got next$/)
    t.is(rig.arrivals, 1)
    rig.stop()
  })
})

describe('a shutdown', () => {
  // Requests that are refused at once end before they are counted. If they were
  // counted nevertheless, each shutdown would wait until its grace period ends.
  it('does not wait for requests that were refused', async t => {
    const rig = await RelayRig.start({})
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 503 /)
    t.is(rig.runs.size, 0)
    rig.stop()
  })

  it('waits for requests in flight', async t => {
    const rig = await RelayRig.start({}, () => {})
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    t.is(rig.runs.size, 1)
    rig.runs.abort()
    t.regex(await answer, /^HTTP\/1.1 502 /)
    t.is(rig.runs.size, 0)
    rig.stop()
  })
})

describe('connections', () => {
  it('carry several requests, and answers come in their order', async t => {
    const first: Arrival[] = []
    const rig = await RelayRig.start({}, arrival => {
      if (arrival.id === 'a') {
        first.push(arrival)
        return
      }
      echo(arrival)
      first.forEach(echo)
    })
    const socket = rig.connect()
    socket.write(`${head('a', 'content-length: 3')}one${head('b', 'content-length: 3', 'connection: close')}two`)
    t.regex(await readAll(socket), /got one[^]*got two$/)
    rig.stop()
  })

  // A caller reads slowly or not at all. The server must be slowed down
  // meanwhile; buffered here, its answer would exhaust the memory of the process.
  it('that are not read apply backpressure to the server', async t => {
    const megabyte = 'x'.repeat(1024 * 1024)
    const many = 32
    const rig = await RelayRig.start({}, arrival => {
      arrival.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: a\r\nstamp: s\r\ncontent-length: ${many * megabyte.length}\r\n\r\n`)
      for (let index = 0; index < many; index++) {
        arrival.socket.write(megabyte)
      }
    })
    const socket = rig.connect()
    socket.pause()
    socket.write(head('a', 'content-length: 0', 'connection: close'))
    await rig.servers[0]?.arrived(1)
    const server = rig.servers[0]?.sockets[0] as Socket
    let before = -1
    // Until the server can write no more.
    while (before !== server.writableLength) {
      before = server.writableLength
      await new Promise<void>(resolve => setTimeout(resolve, 50))
    }
    t.true(server.writableLength > many / 2 * megabyte.length)
    let length = 0
    socket.on('data', bytes => { length += bytes.length })
    socket.resume()
    await new Promise<void>(resolve => socket.once('close', () => resolve()))
    t.true(length > many * megabyte.length)
    rig.stop()
  })
})
