import { describe, it, VirtualClock } from 'foxtaillever-testing'
import type { WeightsNews } from '../peerMessage.js'
import { decodeWeightsNotice, encodeWeightsNotice } from '../weightsNotice.js'
import { WeightsTelling } from '../weightsTelling.js'

function news (engine: number, changingMs: number): WeightsNews {
  return { server: `i-${engine}`, model: 'model', version: changingMs > 0 ? 0 : 2, changingMs }
}

/** Bytes of one second's datagrams to one other, with headers, and what they said. */
async function tell (words: readonly WeightsNews[]): Promise<{ readonly bytes: number, readonly heard: readonly WeightsNews[][] }> {
  const clock = VirtualClock.create()
  const sent: Buffer[] = []
  const telling = WeightsTelling.create(clock, told => sent.push(encodeWeightsNotice(told)))
  words.forEach(word => telling.tell(word))
  await clock.advanceTo(clock.now() + 1000)
  return { bytes: sent.reduce((sum, { length }) => sum + length + 28, 0), heard: sent.flatMap(bytes => decodeWeightsNotice(bytes).toList()) }
}

describe('news of engines\' weights', () => {
  // A dozen engines change at once. A beat to each of 80 others for each of them is some seconds of a link of 7 Mbit/s; requests then reach engines that turn them away.
  it('of a dozen engines reach everybody in two small datagrams', async t => {
    const { bytes, heard } = await tell(Array.from({ length: 12 }, (_, engine) => news(engine, 2500)))
    t.deepEqual(heard.map(({ length }) => length), [12, 12])
    t.true(bytes < 1000, `${bytes} bytes`)
  })

  // An engine that is done must not look as if it changed again because an earlier word came late.
  it('are told in their newest form only', async t => {
    const { heard } = await tell([news(1, 2500), news(1, 0)])
    t.deepEqual(heard.flat().map(({ changingMs }) => changingMs), [0, 0])
  })
})
