import { describe, it } from 'foxtaillever-testing'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from '../__fixtures__/endlessBytes.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Answer } from '../__fixtures__/scriptedServer.js'
import { Repeatability } from '../model/routing.js'

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

/** An error that is large and sound, bytes. */
const LARGE_ERROR_BYTES = 200_000

/** An answer that is large and sound, bytes. */
const LARGE_ANSWER_BYTES = 3_000_000

const answerWell: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, 'done')) }

describe('an error of a server', () => {
  // Guards against a caller that gets an error for as long as it waits, while another server would answer.
  it('whose body does not end is not passed on, and another server runs the request', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, ({ id, socket }) => {
      socket.write(headWithoutEnd('500 Failed', [`request-id: ${id}`, 'stamp: s']))
      writeWithoutEnd(socket, pieceOf(Framing.Chunked))
    }, answerWell)
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
    t.regex(await answer, /^HTTP\/1.1 200 [^]*done$/)
    rig.stop()
  })

  // Guards against an error that is lost because it is long.
  it('that is large is passed on', async t => {
    const body = 'e'.repeat(LARGE_ERROR_BYTES)
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, body, '500 Failed')) })
    const text = await rig.sendRequest('a')
    t.regex(text, /^HTTP\/1.1 500 /)
    t.true(text.endsWith(body))
    rig.stop()
  })
})

describe('a large answer', () => {
  for (const framing of [Framing.Chunked, Framing.Unframed]) {
    // Guards against a sound answer that is cut by a bound meant for one that never ends.
    it(`that is ${framing} is passed on whole`, async t => {
      const rig = await RelayRig.start({}, ({ id, socket }) => {
        socket.write(headWithoutEnd('200 OK', [`request-id: ${id}`, 'stamp: s'], framing))
        socket.write(pieceOf(framing, 'y'.repeat(LARGE_ANSWER_BYTES)))
        if (framing === Framing.Chunked) {
          socket.write('0\r\n\r\n')
        } else {
          socket.end()
        }
      })
      const text = await rig.sendRequest('a')
      t.regex(text, /^HTTP\/1.1 200 /)
      t.is(text.replace(/[^y]/g, '').length, LARGE_ANSWER_BYTES + (text.slice(0, 300).split('\r\n\r\n')[0] ?? '').replace(/[^y]/g, '').length)
      rig.stop()
    })
  }
})
