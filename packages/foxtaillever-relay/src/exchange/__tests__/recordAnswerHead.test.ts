import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import type { AnswerHead } from '../../attempts/attempt.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import type { ExchangeContext } from '../exchangeContext.js'
import type { InFlightAttempt } from '../inFlightAttempt.js'
import { recordAnswerHead } from '../recordAnswerHead.js'

/** The samples of speed that an answer gives, as tokens and milliseconds. */
function samplesOf (attempt: Partial<InFlightAttempt>, status = 200): number[][] {
  const samples: number[][] = []
  const context = { clock: VirtualClock.create(), directory: ServerDirectory.create({ onChanged: () => {} }), onSpeedSample: (_: unknown, ...sample: number[]) => { samples.push(sample) } }
  const inFlight = { beganAt: 1000, tokensToRead: 9000, isChanging: false, isYielding: false, markBegun: () => {}, recordStatus: () => {}, ...attempt }
  recordAnswerHead(context as unknown as ExchangeContext, createExchange(0), inFlight as unknown as InFlightAttempt, { status, marks: {}, at: 1400 } as unknown as AnswerHead)
  return samples
}

describe('the first event of an answer', () => {
  // A wait for new weights or behind other requests would make the server look slow to the whole fleet.
  it('is a sample of its server\'s speed only if the server began to read at once', t => {
    t.deepEqual(samplesOf({}), [[9000, 400]])
    t.deepEqual([samplesOf({ isYielding: true }), samplesOf({ isChanging: true }), samplesOf({}, 503)], [[], [], []])
  })
})
