import type { Socket } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { closesWithin, writeWithoutEnd } from '../__fixtures__/endlessBytes.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { chunk, wholeAnswer } from '../__fixtures__/scriptedServer.js'

/** Far longer than closing takes, milliseconds of real time. */
const CLOSE_MS = 2000

/** Later than the deadline of the rig's route and the time for the head of a request, milliseconds. */
const LATE_MS = 20_000

const CHUNKED = 'transfer-encoding: chunked'

function head (path: string, ...lines: string[]): string {
  return [`POST ${path} HTTP/1.1`, 'host: h', 'request-id: a', ...lines, '', ''].join('\r\n')
}

async function startRig (): Promise<RelayRig> {
  return await RelayRig.start({ pathPrefix: '/p' }, arrival => { arrival.socket.write(wholeAnswer(arrival, 'done')) })
}

async function connectAndReceive (rig: RelayRig, bytes: string): Promise<{ readonly socket: Socket, readonly text: () => string }> {
  const socket = rig.connect()
  let text = ''
  socket.on('data', received => { text += received.toString('latin1') })
  socket.write(bytes)
  return { socket, text: () => text }
}

async function receive (socket: Socket): Promise<void> {
  await new Promise<void>(resolve => socket.once('data', () => resolve()))
}

describe('a request whose body does not end', () => {
  // Guards against a connection that is read for ever because the request was refused before its body.
  it('closes its connection if its route is unknown', async t => {
    const rig = await startRig()
    const { socket, text } = await connectAndReceive(rig, head('/unknown', CHUNKED))
    await receive(socket)
    t.regex(text(), /^HTTP\/1.1 404 /)
    writeWithoutEnd(socket, chunk('x'.repeat(8192)))
    t.true(await closesWithin(socket, CLOSE_MS))
    rig.stop()
  })

  it('closes its connection if its route is unknown and almost nothing is sent', async t => {
    const rig = await startRig()
    const { socket } = await connectAndReceive(rig, head('/unknown', CHUNKED) + chunk('x'))
    await receive(socket)
    await rig.clock.advanceBy(LATE_MS)
    t.true(await closesWithin(socket, CLOSE_MS))
    rig.stop()
  })

  // Guards against memory that a caller holds long after it stopped waiting for an answer.
  it('closes its connection after the deadline if it is within the limit', async t => {
    const rig = await startRig()
    const { socket } = await connectAndReceive(rig, head('/p', CHUNKED, 'expect: 100-continue') + chunk('x'))
    await receive(socket)
    await rig.clock.advanceBy(LATE_MS)
    t.true(await closesWithin(socket, CLOSE_MS))
    t.is(rig.arrivals, 0)
    rig.stop()
  })

  it('closes its connection if it exceeds the limit', async t => {
    const rig = await startRig()
    const { socket } = await connectAndReceive(rig, head('/p', CHUNKED))
    writeWithoutEnd(socket, chunk('x'.repeat(8192)))
    t.true(await closesWithin(socket, CLOSE_MS))
    t.is(rig.arrivals, 0)
    rig.stop()
  })
})

describe('a refused request with an ordinary body', () => {
  // Guards against a new connection for each request that a caller has to send again.
  it('keeps its connection', async t => {
    const rig = await startRig()
    const { socket, text } = await connectAndReceive(rig, head('/unknown', 'content-length: 50000') + 'x'.repeat(50_000))
    await receive(socket)
    t.regex(text(), /^HTTP\/1.1 404 /)
    await rig.clock.advanceBy(LATE_MS)
    socket.write(head('/p', 'content-length: 0'))
    await receive(socket)
    t.regex(text(), /HTTP\/1.1 200 [^]*done$/)
    rig.stop()
  })
})
