import { describe, it } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { plainRoute } from '../../__fixtures__/relayRig.js'
import { AnswerRelay } from '../answerRelay.js'
import type { CallerAnswer } from '../callerAnswer.js'

const listener = { onFirstEvent: () => {}, onEvents: () => {}, onBackpressure: () => {} }

/** An answer to a stream that has begun. */
function beginStream (): AnswerRelay {
  const answer = { hasBegun: false, begin: () => {}, write: () => true, end: () => {}, countHeld: () => true } as unknown as CallerAnswer
  const relay = AnswerRelay.create({ ...createExchange(0), route: { ...plainRoute, isStream: true, isResumable: true } }, answer, listener)
  const marks = { requestId: 'r', isStamped: true, isNotRun: false, serverId: undefined, weightsVersion: undefined, isEventStream: true }
  relay.begin({ status: 200, marks, headers: [], at: 0 })
  return relay
}

/** An answer to a stream of which these bytes arrived. */
function receive (bytes: string): AnswerRelay {
  const relay = beginStream()
  relay.push(Buffer.from(bytes))
  return relay
}

describe('a stream that ends inside an event', () => {
  // Guards against half an event at a caller's: an instance that carries an answer without a length passes it on in chunks, which end well.
  it('is truncated, however the answer is framed', t => {
    t.not(receive('id: 1\ndata: x\n\nid: 2\nda').findTruncation(), undefined)
    t.not(receive('id: 1\nda').findTruncation(), undefined)
    t.is(receive('id: 1\ndata: x\n\n').findTruncation(), undefined)
  })
})

const COMMENT = ': still here\n\n'

describe('comments in a stream', () => {
  // Guards against a server that keeps a caller waiting with comments that never end, each of them whole.
  it('end the attempt if too many follow each other', t => {
    for (const comment of [COMMENT, '\n\n', ': a\n: b\n\n']) {
      const relay = beginStream()
      const refusals = Array.from({ length: 50 }, () => relay.push(Buffer.from(comment.repeat(1000))))
      t.true(refusals.includes('comments follow each other without an event'), comment)
    }
  })

  // Guards against a stream that is cut because it keeps its connection alive between slow events.
  it('are passed on between events, however many there are in all', t => {
    const relay = beginStream()
    const refusals = Array.from({ length: 100 }, (_, index) => relay.push(Buffer.from(`${COMMENT.repeat(1000)}id: ${index + 1}\ndata: x\n\n`)))
    t.deepEqual([...new Set(refusals)], [undefined])
  })
})
