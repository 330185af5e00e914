import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { describe, it } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { plainRoute } from '../../__fixtures__/relayRig.js'
import { AnswerRelay } from '../../exchange/answerRelay.js'
import type { CallerAnswer } from '../../exchange/callerAnswer.js'
import { ByteCollector } from '../byteCollector.js'

const PIECES = 200_000

/** Memory for each byte that is kept, bytes: a buffer that doubles has at most two, and some are freed late. */
const MAX_BYTES_PER_BYTE = 8

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** How much memory grows while the pieces are added, bytes. */
function measureGrowth (add: (piece: Buffer) => void): number {
  const slab = Buffer.from('x'.repeat(64 * 1024))
  collectGarbage()
  const before = process.memoryUsage()
  for (let index = 0; index < PIECES; index += 1) {
    add(slab.subarray(index % slab.length, index % slab.length + 1))
  }
  collectGarbage()
  const after = process.memoryUsage()
  return after.heapUsed + after.external - before.heapUsed - before.external
}

describe('ByteCollector', () => {
  it('returns all bytes in order', t => {
    const collector = ByteCollector.create()
    const pieces = ['a', '', 'bc', 'd'.repeat(100), 'e']
    pieces.forEach(piece => collector.add(Buffer.from(piece)))
    const { bytes } = collector
    t.is(bytes.toString(), pieces.join(''))
    collector.clear()
    collector.add(Buffer.from('other'))
    t.is(collector.bytes.toString(), 'other')
    t.is(bytes.toString(), pieces.join(''), 'a buffer that was returned keeps its bytes')
  })
})

describe('an answer in chunks of one byte', () => {
  // Guards against an answer below the limit of bytes that takes a hundred times its size in memory.
  it('takes little more memory than its bytes while it is held back', t => {
    const answer = { hasBegun: false, begin: () => {}, write: () => true, send: () => {}, end: () => {}, countHeld: () => true } as unknown as CallerAnswer
    const relay = AnswerRelay.create({ ...createExchange(0), route: plainRoute }, answer, { onFirstEvent: () => {}, onEvents: () => {}, onBackpressure: () => {} })
    relay.begin({ status: 200, marks: { requestId: 'r', isStamped: true, isNotRun: false, serverId: undefined, weightsVersion: undefined, isEventStream: false }, headers: [], at: 0 })
    const growth = measureGrowth(piece => relay.push(piece))
    t.is(relay.body.length, PIECES)
    t.true(growth < MAX_BYTES_PER_BYTE * PIECES, `${growth} bytes for ${PIECES}`)
  })
})
