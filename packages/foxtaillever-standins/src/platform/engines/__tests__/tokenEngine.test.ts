import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { TokenEngine } from '../tokenEngine.js'

const ENGINE = { slots: 4, maxWaiting: 4, memoryTokens: 10_000, stepMs: 10, prefillTokensPerMs: 100, chunkTokens: 1000 }
const TOKENS = 20

describe('TokenEngine', () => {
  // Guards against stand-ins that never pause, with which no test sees what an instance does with a silent stream.
  it('goes on with its runs after a pause', async t => {
    const clock = VirtualClock.create()
    const engine = TokenEngine.create(ENGINE, clock)
    let [tokens, isFinished] = [0, false]
    const sink = { started: () => {}, token: () => { tokens += 1 }, finished: () => { isFinished = true } }
    engine.submit({ requestId: 'q', model: 'm', salt: 's', parts: [], promptTokens: 10, outputTokens: TOKENS, priority: 1, resumeAfter: 0, account: 'acme', sink })
    await clock.advanceBy(100)
    const before = tokens
    t.true(before > 0 && before < TOKENS)
    engine.pauseUntil(clock.now() + 500)
    await clock.advanceBy(499)
    t.is(tokens, before)
    await clock.advanceBy(301)
    t.is(tokens, TOKENS)
    t.true(isFinished)
  })
})
