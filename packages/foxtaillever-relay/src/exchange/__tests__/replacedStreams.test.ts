/** Streams whose silent server is to be replaced, where the replacement does not do what it should. */
import { setTimeout as wait } from 'node:timers/promises'
import { describe, it } from 'foxtaillever-testing'
import { chunk, streamHead } from '../../__fixtures__/scriptedServer.js'
import { event, LAST_CHUNK, SilentStream } from '../../__fixtures__/silentStream.js'

/** Time for what arrives within a moment on loopback, milliseconds. */
const ARRIVAL_MS = 100

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
})
