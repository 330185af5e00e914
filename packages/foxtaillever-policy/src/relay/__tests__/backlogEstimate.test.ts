import { describe, it } from 'foxtaillever-testing'
import { BacklogEstimate } from '../backlogEstimate.js'

const TOKENS_PER_MS = 10

describe('the backlog of a server', () => {
  it('is zero before any report', t => {
    t.is(BacklogEstimate.create().tokensAt(TOKENS_PER_MS, 1000), 0)
  })

  // Without progress, the next request is admitted at the first event, and the engine is idle until it arrives.
  it('falls while the server reads', t => {
    const backlog = BacklogEstimate.create()
    backlog.record(4000, 1000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 1000), 4000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 1200), 2000)
  })

  // A server that has stopped is sent requests at its full rate.
  it('keeps a quarter of what the server has not reported as read', t => {
    const backlog = BacklogEstimate.create()
    backlog.record(4000, 1000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 60_000), 1000)
    backlog.record(8000, 60_000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 60_000), 2000)
  })

  // An admission during a prompt starts the progress again; the engine is idle after that prompt.
  it('keeps the progress when a request is added', t => {
    const backlog = BacklogEstimate.create()
    backlog.record(4000, 1000)
    backlog.record(8000, 1200)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 1200), 6000)
  })

  // Progress of the prompt that was read counts for the next one, and two requests too many are sent.
  it('starts again with each first event, and after an idle time', t => {
    const backlog = BacklogEstimate.create()
    backlog.record(8000, 1000)
    backlog.record(4000, 1400)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 1400), 4000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 1500), 3000)
    backlog.record(0, 1800)
    backlog.record(4000, 9000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 9000), 4000)
  })

  // Clocks are read before a report is processed: a negative time would add tokens.
  it('is not more than what was reported', t => {
    const backlog = BacklogEstimate.create()
    backlog.record(4000, 1000)
    t.is(backlog.tokensAt(TOKENS_PER_MS, 900), 4000)
  })
})
