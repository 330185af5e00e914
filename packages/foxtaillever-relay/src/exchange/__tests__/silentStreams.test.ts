/** Streams whose server falls silent after the caller has received a part of them. */
import { setTimeout as wait } from 'node:timers/promises'
import { describe, it } from 'foxtaillever-testing'
import { readAll, RelayRig } from '../../__fixtures__/relayRig.js'
import { chunk, streamHead, wholeAnswer, type Arrival } from '../../__fixtures__/scriptedServer.js'
import { event, idsOf, LAST_CHUNK, resumableStream, SILENCE_MS, SilentStream } from '../../__fixtures__/silentStream.js'

/** The connection of a caller that doesn't read is full within this, milliseconds. */
const PRESSURE_MS = 300

function refuse (arrival: Arrival): void {
  arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1'))
}

describe('a stream whose server pauses for longer than the timeout', () => {
  // Guards against giving up the only server that can finish the stream before another one is found.
  it('goes on there if no other server can take it', async t => {
    const silent = await SilentStream.begin()
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against giving up the first server once another one is chosen, which may refuse.
  it('goes on there if the other server refuses it', async t => {
    const silent = await SilentStream.begin(refuse)
    await silent.rig.servers[1]?.arrived(1)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against a pause after which the stream can no longer move to another server.
  it('moves to another server in a later pause if none could take it in the first', async t => {
    const silent = await SilentStream.begin()
    silent.send(0, event(2))
    await silent.receives(2)
    await silent.rig.addServer(arrival => arrival.socket.write(streamHead(arrival) + event(3) + LAST_CHUNK))
    await silent.rig.clock.advanceBy(SILENCE_MS)
    t.deepEqual(await silent.end(), ['1', '2', '3'])
    t.true(silent.isComplete)
  })

  // Guards against events of two servers in one stream.
  it('stays with the server that goes on first', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival)))
    await silent.rig.servers[1]?.arrived(1)
    silent.send(0, event(2))
    await silent.receives(2)
    t.true(await silent.isClosedAt(1))
    silent.send(0, event(3) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2', '3'])
    t.true(silent.isComplete)
  })

  // Guards against work that goes on at two servers.
  it('ends at the first server once the other one goes on', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival) + event(2)))
    await silent.receives(2)
    t.true(await silent.isClosedAt(0))
    silent.send(1, event(3) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2', '3'])
    t.true(silent.isComplete)
  })

  // Guards against a second replacement when the first server is lost after all.
  it('goes on at the other server if the first one is lost before either sends an event', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival)))
    await silent.rig.servers[1]?.arrived(1)
    silent.rig.servers[0]?.sockets[0]?.destroy()
    await silent.rig.servers[0]?.closed(0)
    silent.send(1, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })
})

describe('a stream whose caller pauses for longer than the timeout', () => {
  // Guards against taking a server for silent that isn't read from because the caller doesn't read.
  it('goes on at its server, and no other server runs it', async t => {
    const events = Array.from({ length: 200 }, (_, index) => chunk(`id: ${index + 1}\ndata: ${'x'.repeat(60_000)}\n\n`))
    const rig = await RelayRig.start(resumableStream, arrival => arrival.socket.write(streamHead(arrival) + events.join('') + LAST_CHUNK), refuse)
    const socket = rig.connect()
    socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
    await new Promise<void>(resolve => socket.once('readable', () => resolve()))
    await wait(PRESSURE_MS)
    await rig.clock.advanceBy(SILENCE_MS)
    const text = await readAll(socket)
    t.is(idsOf(text).length, events.length)
    t.is(rig.arrivals, 1)
    rig.stop()
  })
})
