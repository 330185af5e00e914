import { describe, it } from 'foxtaillever-testing'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from '../__fixtures__/endlessBytes.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { chunk, wholeAnswer, type Answer, type Arrival } from '../__fixtures__/scriptedServer.js'

/** Far longer than closing takes, milliseconds of real time. */
const CLOSE_MS = 2000

/** No connection of a refused request may stay open for longer, milliseconds. */
const MAX_REFUSAL_MS = 100

/** Most bytes of a refusal that may be read. One read of a socket returns at most as many again. */
const MAX_REFUSAL_BYTES = 64 * 1024

const answerWell: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, 'done')) }

function refusalHead ({ id }: Arrival, status: string, framing: Framing): string {
  return headWithoutEnd(status, [`request-id: ${id}`, 'not-run: 1'], framing)
}

const statuses = ['503 Full', '421 Other']

describe('a refusal whose body does not end', () => {
  for (const framing of Object.values(Framing)) {
    for (const status of statuses) {
      // Guards against connections that are read until the server ends a body that it never ends.
      it(`with status ${status}, ${framing}, ends its connection, and another server runs the request`, async t => {
        const rig = await RelayRig.start({}, arrival => {
          arrival.socket.write(refusalHead(arrival, status, framing))
          writeWithoutEnd(arrival.socket, pieceOf(framing))
        }, answerWell)
        t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 [^]*done$/)
        t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
        rig.stop()
      })
    }
  }

  // Guards against a body that stays below the bound in bytes and holds its connection for as long as the server likes.
  it('ends its connection in time if the server sends almost nothing', async t => {
    const rig = await RelayRig.start({}, arrival => {
      arrival.socket.write(refusalHead(arrival, '503 Full', Framing.Chunked) + chunk('x'))
    }, answerWell)
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 /)
    await rig.clock.advanceBy(MAX_REFUSAL_MS)
    t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
    rig.stop()
  })

  // Guards against chunk extensions, which are bytes on the link but not of the body.
  it('ends its connection if its bytes are not of the body', async t => {
    const rig = await RelayRig.start({}, arrival => {
      arrival.socket.write(refusalHead(arrival, '503 Full', Framing.Chunked))
      writeWithoutEnd(arrival.socket, `1;${'e'.repeat(8192)}\r\nx\r\n`)
    }, answerWell)
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 /)
    t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
    rig.stop()
  })

  // Guards against a server that does this to each request and is chosen as often as one that answers.
  it('counts as a fault of the server, and the request as not run', async t => {
    const rig = await RelayRig.start({ mostAttempts: 1 }, arrival => {
      arrival.socket.write(refusalHead(arrival, '503 Full', Framing.Chunked))
      writeWithoutEnd(arrival.socket, pieceOf(Framing.Chunked))
    })
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 503 [^]*"verdict":"not_run"/)
    t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
    t.true((rig.directory.get('s0')?.health.faultShare(rig.clock.now()) ?? 0) > 0)
    rig.stop()
  })
})

describe('a refusal with an ordinary body', () => {
  const bodies: Readonly<Record<string, string>> = { empty: '', short: 'busy', 'of some kilobytes': 'x'.repeat(4000) }
  for (const [name, body] of Object.entries(bodies)) {
    // Guards against a new connection for each request to a full server.
    it(`that is ${name} keeps its connection and is no fault`, async t => {
      const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, body, '503 Full', 'not-run: 1')) }, answerWell)
      await rig.sendRequest('a')
      await rig.clock.advanceBy(MAX_REFUSAL_MS)
      await rig.sendRequest('b')
      t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 0])
      t.is(rig.directory.get('s0')?.health.faultShare(rig.clock.now()), 0)
      rig.stop()
    })
  }

  // Guards against a bound that is checked after more was read than it allows.
  it('reads no more than the bound of one that is too large', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'x'.repeat(2 * MAX_REFUSAL_BYTES), '503 Full', 'not-run: 1')) }, answerWell)
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 /)
    t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
    rig.stop()
  })
})
