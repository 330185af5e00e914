/** What replacements of silent servers count against the limits of servers and of the exchange. */
import { setTimeout as wait } from 'node:timers/promises'
import { describe, it } from 'foxtaillever-testing'
import { wholeAnswer, type Answer } from '../../__fixtures__/scriptedServer.js'
import { event, LAST_CHUNK, SILENCE_MS, SilentStream } from '../../__fixtures__/silentStream.js'

/** Time for what arrives within a moment on loopback, milliseconds. */
const ARRIVAL_MS = 100

/** Servers that may reject one exchange. */
const MAX_REJECTIONS = 3

const refuse: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) }

describe('a stream whose server pauses several times', () => {
  // Guards against pauses that each allow one more rejection.
  it('is rejected by three servers at most', async t => {
    const silent = await SilentStream.begin(refuse, refuse, refuse, refuse, refuse)
    await silent.rig.servers[3]?.arrived(1)
    await silent.rig.clock.advanceBy(SILENCE_MS)
    await wait(ARRIVAL_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.is(silent.rig.arrivals - 1, MAX_REJECTIONS)
  })
})
