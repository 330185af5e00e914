/** Requests whose place is given up before another one is certain. */
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Arrival } from '../__fixtures__/scriptedServer.js'
import { Repeatability } from '../model/routing.js'

/** Longer than the wait for the first byte of an answer, milliseconds. */
const SILENCE_MS = 500

function answerOk (arrival: Arrival): void {
  arrival.socket.write(wholeAnswer(arrival, 'ok'))
}

describe('a repeatable request whose server is silent before its answer', () => {
  // Guards against giving up the only server that can answer the request.
  it('waits there if no other server can take it', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {})
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(SILENCE_MS)
    rig.servers[0]?.arrivals.forEach(answerOk)
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })

  // Guards against giving up the first server for one that refuses the request.
  it('waits there if the other server refuses it', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')))
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(SILENCE_MS)
    await rig.servers[1]?.arrived(1)
    rig.servers[0]?.arrivals.forEach(answerOk)
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })
})
