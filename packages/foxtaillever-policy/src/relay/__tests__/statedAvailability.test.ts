import { describe, it } from 'foxtaillever-testing'
import { StatedAvailability } from '../statedAvailability.js'

const NOW = 1_700_000_000_000

function backingOff (ms: number): StatedAvailability {
  const state = StatedAvailability.create()
  state.recordBackoff(NOW + ms, NOW)
  return state
}

describe('the stated availability of a server', () => {
  it('allows requests at first', t => {
    const state = StatedAvailability.create()
    t.is(state.opensAt, 0)
    state.recordSent(NOW)
    t.is(state.opensAt, 0)
  })

  it('allows no more requests once the server leaves', t => {
    const state = backingOff(1000)
    t.true(state.recordLeaving(NOW))
    t.false(state.recordLeaving(NOW + 1))
    state.recordAccepted(NOW + 5000)
    t.is(state.opensAt, Infinity)
    t.is(state.reachableFrom, Infinity)
  })
})

describe('a backoff that a server requested', () => {
  // A late answer with a shorter time must not shorten the backoff.
  it('lasts until the latest end of several', t => {
    const state = backingOff(3000)
    state.recordBackoff(NOW + 500, NOW + 100)
    t.is(state.opensAt, NOW + 3000)
    state.recordBackoff(NOW + 3500, NOW + 500)
    t.is(state.opensAt, NOW + 3500)
  })

  // If all waiting requests were sent at the end, the server would request the next backoff.
  it('is followed by one request, and by others once that was accepted', t => {
    const state = backingOff(3000)
    t.is(state.opensAt, NOW + 3000)
    state.recordSent(NOW + 3000)
    t.is(state.opensAt, NOW + 3500)
    t.is(state.reachableFrom, NOW + 3000)
    state.recordAccepted(NOW + 3000)
    t.is(state.opensAt, 0)
  })

  it('is followed by another request when the first gets no answer', t => {
    const state = backingOff(3000)
    state.recordSent(NOW + 3000)
    state.recordSent(NOW + 3500)
    t.is(state.opensAt, NOW + 4000)
  })

  // An answer to a request sent before the backoff must not end it.
  it('is not ended by a request that the server accepted before', t => {
    const state = backingOff(3000)
    state.recordAccepted(NOW + 200)
    t.is(state.opensAt, NOW + 3000)
  })
})

describe('the next incarnation of a server', () => {
  it('does not inherit statements received before its start', t => {
    const state = backingOff(3000)
    state.recordLeaving(NOW)
    t.is(state.sinceStart(NOW + 1).opensAt, 0)
  })

  // A start that becomes known late must not discard statements received after it.
  it('keeps statements received since its start', t => {
    t.is(backingOff(3000).sinceStart(NOW - 1).opensAt, NOW + 3000)
    const state = StatedAvailability.create()
    state.recordLeaving(NOW)
    t.is(state.sinceStart(NOW).opensAt, Infinity)
  })

  it('does not leave because older information said so of the former incarnation', t => {
    const state = StatedAvailability.create()
    state.recordLeaving(0)
    t.is(state.sinceStart(NOW).opensAt, 0)
  })
})
