import { SystemClock } from 'foxtaillever-core'
import { blockEventLoopUntil, describe, it } from 'foxtaillever-testing'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from '../../__fixtures__/endlessBytes.js'
import { chunk, ScriptedServer, type Answer } from '../../__fixtures__/scriptedServer.js'
import { BodyExcess } from '../byteBounds.js'
import { callServer } from '../callServer.js'
import { ServerConnections } from '../serverConnections.js'

const MAX_BYTES = 256 * 1024

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

/** Much later than `CLOSE_MS`, so that only the bound on bytes can end a call before, milliseconds. */
const LONG_MS = 20_000

/** A connection that is to stay open is watched for this long, milliseconds. */
const OPEN_MS = 100

/** Time of a call whose answer begins within it on a busy machine, milliseconds. */
const CALL_MS = 2000

/** Longer than many pieces take, milliseconds. */
const STALL_MS = 300

/** Between the pieces of a slow answer, milliseconds. */
const PIECE_MS = 10

const call = { method: 'GET', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0) }

interface Outcome {
  readonly bytes: number
  readonly excesses: readonly BodyExcess[]
  readonly isClosed: boolean
}

async function makeCall (answer: Answer, { watchMs = CLOSE_MS, ms, ...rest }: { readonly ms: number, readonly chunkTimeoutMs?: number, readonly watchMs?: number }): Promise<Outcome> {
  const clock = SystemClock.create()
  const server = await ScriptedServer.start(answer)
  const excesses: BodyExcess[] = []
  const connections = ServerConnections.create({ address: server.address, part: { total: 1, idle: 1 }, onExcess: excess => excesses.push(excess) })
  const whole = callServer(connections, call, { clock, deadline: clock.now() + ms, maxBytes: MAX_BYTES, ...rest })
  await server.arrived(1)
  const [first] = server.sockets
  const bytes = (await whole).map(({ body }) => body.length).orDefault(0)
  const isClosed = await closesWithin(first, watchMs)
  connections.close()
  server.stop()
  return { bytes, excesses, isClosed }
}

describe('a call whose answer does not end', () => {
  for (const framing of Object.values(Framing)) {
    // Guards against an answer that fills the memory of the process until the deadline, and beyond where the deadline moves with each chunk.
    it(`fails before its deadline if it is ${framing}`, async t => {
      const outcome = makeCall(({ socket }) => {
        socket.write(headWithoutEnd('200 OK', [], framing))
        writeWithoutEnd(socket, pieceOf(framing))
      }, { ms: LONG_MS, chunkTimeoutMs: LONG_MS })
      const first = await Promise.race([outcome, new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), LONG_MS / 2))])
      t.deepEqual(first, { bytes: 0, excesses: [BodyExcess.Bytes], isClosed: true })
    })
  }

  const answerSlowly: Answer = ({ socket }) => {
    socket.write(headWithoutEnd('200 OK', []))
    const timer = setInterval(() => socket.write(chunk('x')), PIECE_MS)
    socket.once('close', () => clearInterval(timer))
  }

  // Guards against a body of a few bytes a second that never ends.
  it('fails at its deadline if it comes slowly', async t => {
    t.deepEqual(await makeCall(answerSlowly, { ms: CALL_MS }), { bytes: 0, excesses: [BodyExcess.Time], isClosed: true })
  })

  // Guards against a chunk after the deadline that cancels the time by which a stall of this process extends it.
  it('fails at its extended deadline if it comes slowly and this process stalled', async t => {
    const clock = SystemClock.create()
    const stallsAt = clock.now() + CALL_MS / 2 - STALL_MS / 2
    clock.at(stallsAt, () => blockEventLoopUntil(stallsAt + STALL_MS))
    t.deepEqual(await makeCall(answerSlowly, { ms: CALL_MS }), { bytes: 0, excesses: [BodyExcess.Time], isClosed: true })
  })
})

describe('a call whose answer is large', () => {
  // Guards against a bound that is lower than it says.
  it('succeeds up to its bound', async t => {
    const body = 'x'.repeat(MAX_BYTES)
    const outcome = await makeCall(({ socket }) => { socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`) }, { ms: LONG_MS, watchMs: OPEN_MS })
    t.deepEqual(outcome, { bytes: MAX_BYTES, excesses: [], isClosed: false })
  })
})
