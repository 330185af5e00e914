import { describe, it } from 'foxtaillever-testing'
import { StatedState } from '../statedState.js'

const NOW = 1_700_000_000_000

function resting (ms: number): StatedState {
  const state = StatedState.create()
  state.observeRest(NOW + ms, NOW)
  return state
}

describe('what a server has stated of itself', () => {
  it('closes it to nothing at first', t => {
    const state = StatedState.create()
    t.is(state.opensAt, 0)
    state.observeSent(NOW)
    t.is(state.opensAt, 0)
  })

  it('closes it for good once it leaves', t => {
    const state = resting(1000)
    t.true(state.observeLeaving(NOW))
    t.false(state.observeLeaving(NOW + 1))
    state.observeTaken(NOW + 5000)
    t.is(state.opensAt, Infinity)
    t.is(state.reachableFrom, Infinity)
  })
})

describe('a rest that a server asked for', () => {
  // Guards against a late answer with a shorter time.
  it('lasts until the latest end of several', t => {
    const state = resting(3000)
    state.observeRest(NOW + 500, NOW + 100)
    t.is(state.opensAt, NOW + 3000)
    state.observeRest(NOW + 3500, NOW + 500)
    t.is(state.opensAt, NOW + 3500)
  })

  // Guards against all that was kept from the server coming at its end.
  it('is followed by one request, and others once that was taken', t => {
    const state = resting(3000)
    t.is(state.opensAt, NOW + 3000)
    state.observeSent(NOW + 3000)
    t.is(state.opensAt, NOW + 3500)
    t.is(state.reachableFrom, NOW + 3000)
    state.observeTaken(NOW + 3000)
    t.is(state.opensAt, 0)
  })

  it('is followed by another request where the first has no answer', t => {
    const state = resting(3000)
    state.observeSent(NOW + 3000)
    state.observeSent(NOW + 3500)
    t.is(state.opensAt, NOW + 4000)
  })

  // Guards against an answer to a request of before that ends the rest.
  it('is not ended by what the server took before', t => {
    const state = resting(3000)
    state.observeTaken(NOW + 200)
    t.is(state.opensAt, NOW + 3000)
  })
})

describe('the next start of a server', () => {
  it('has stated nothing that was heard before it', t => {
    const state = resting(3000)
    state.observeLeaving(NOW)
    t.is(state.since(NOW + 1).opensAt, 0)
  })

  // Guards against a start that is learned late and unsays what came after it.
  it('has stated what was heard since', t => {
    t.is(resting(3000).since(NOW - 1).opensAt, NOW + 3000)
    const state = StatedState.create()
    state.observeLeaving(NOW)
    t.is(state.since(NOW).opensAt, Infinity)
  })

  it('does not leave because an older word said so of the former one', t => {
    const state = StatedState.create()
    state.observeLeaving(0)
    t.is(state.since(NOW).opensAt, 0)
  })
})
