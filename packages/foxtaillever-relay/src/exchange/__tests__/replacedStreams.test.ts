/** Streams whose silent server is to be replaced, where the replacement does not do what it should. */
import { setTimeout as wait } from 'node:timers/promises'
import { describe, it } from 'foxtaillever-testing'
import { chunk, streamHead, type Arrival } from '../../__fixtures__/scriptedServer.js'
import { event, LAST_CHUNK, SILENCE_MS, SilentStream } from '../../__fixtures__/silentStream.js'

/** Time for what arrives within a moment on loopback, milliseconds. */
const ARRIVAL_MS = 100

/** Two servers may work on a request that goes on at the second one for this long, milliseconds. */
const MAX_OVERLAP_MS = 400

function sendHead (arrival: Arrival): void {
  arrival.socket.write(streamHead(arrival))
}

function resumesAfterTwo ({ head }: Arrival): boolean {
  return /^after: 2$/m.test(head)
}

function ignore (): void {}

describe('a stream whose silent server is replaced', () => {
  // Guards against giving up the first server for bytes of another one that are no event of the stream.
  it('stays with its server if the other one sends a comment and nothing more', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival) + chunk(': wait\n\n')))
    await silent.rig.servers[1]?.arrived(1)
    await wait(ARRIVAL_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against giving up the first server for a server that is lost in the middle of its first event.
  it('stays with its server if the other one is lost in the middle of an event', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 2\n')))
    await silent.rig.servers[1]?.arrived(1)
    await wait(ARRIVAL_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against giving up the first server for an event that the stream cannot go on with.
  it('stays with its server if the other one begins from the first event', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival) + event(1)))
    await silent.rig.servers[1]?.arrived(1)
    await wait(ARRIVAL_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against two servers that work on one request until one of them sends something.
  it('is at one server only 400 ms after the other one has it', async t => {
    const silent = await SilentStream.begin(sendHead)
    await silent.rig.servers[1]?.arrived(1)
    await wait(ARRIVAL_MS)
    await silent.rig.clock.advanceBy(MAX_OVERLAP_MS)
    await wait(ARRIVAL_MS)
    const open = silent.rig.servers.filter(({ sockets: [socket] }) => socket?.destroyed === false)
    silent.rig.stop()
    t.is(open.length, 1)
  })

  // Guards against a replacement that is silent itself and holds the stream until its deadline.
  it('moves to a third server if the second one is silent too', async t => {
    const silent = await SilentStream.beginOn({ mostAttempts: 3 }, ignore, arrival => arrival.socket.write(streamHead(arrival) + event(2) + LAST_CHUNK))
    await silent.rig.servers[1]?.arrived(1)
    await silent.rig.clock.advanceBy(SILENCE_MS)
    await silent.rig.clock.advanceBy(SILENCE_MS)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.true(silent.isComplete)
  })

  // Guards against a pause that uses up the attempts, so that the stream is cut when its server is lost later.
  it('goes on at the other server if the first one goes on and is lost later', async t => {
    const silent = await SilentStream.begin(arrival => arrival.socket.write(streamHead(arrival) + (resumesAfterTwo(arrival) ? event(3) + LAST_CHUNK : '')))
    await silent.rig.servers[1]?.arrived(1)
    silent.send(0, event(2))
    await silent.receives(2)
    t.true(await silent.isClosedAt(1))
    silent.rig.servers[0]?.sockets[0]?.destroy()
    t.deepEqual(await silent.end(), ['1', '2', '3'])
    t.true(silent.isComplete)
  })

  // Guards against a pause that counts as another failure each second.
  it('counts one failed try for one pause', async t => {
    const silent = await SilentStream.begin()
    await silent.rig.clock.advanceBy(SILENCE_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.is(silent.rig.lines.filter(({ msg }) => msg === 'requests: A try failed.').length, 1)
  })

  // Guards against a log line that names an old pause as the end of a stream that had gone on.
  it('is logged as in flight when it is cut after it went on at its server', async t => {
    const silent = await SilentStream.begin()
    silent.send(0, event(2))
    await silent.receives(2)
    silent.rig.runs.abort()
    await silent.end()
    t.is(silent.rig.lines.find(({ msg }) => msg === 'requests: Ended: failed.')?.attempt, 'in-flight')
  })
})
