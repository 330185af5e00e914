import { describe, it } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { plainRoute } from '../../__fixtures__/relayRig.js'
import { AnswerRelay } from '../answerRelay.js'
import type { CallerAnswer } from '../callerAnswer.js'

const listener = { onFirstEvent: () => {}, onEvents: () => {}, onBackpressure: () => {} }

/** An answer to a stream of which these bytes arrived. */
function receive (bytes: string): AnswerRelay {
  const answer = { hasBegun: false, begin: () => {}, write: () => true, end: () => {} } as unknown as CallerAnswer
  const relay = AnswerRelay.create({ ...createExchange(0), route: { ...plainRoute, isStream: true, isResumable: true } }, answer, listener)
  const marks = { requestId: 'r', isStamped: true, isNotRun: false, serverId: undefined, weightsVersion: undefined, isEventStream: true }
  relay.begin({ status: 200, marks, headers: [], at: 0 })
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
