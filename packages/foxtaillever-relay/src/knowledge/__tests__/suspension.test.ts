/**
 * A laptop lid closes, or a virtual machine is moved: the process goes on after
 * seconds as if nothing had happened, with a list of servers of which some have
 * left meanwhile. Timers alone do not show it, because the steady clock stood.
 */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Suspension } from '../suspension.js'

const PAUSE_MS = 200

describe('Suspension', () => {
  it('sees a freeze by its late timer and a suspension by the time of day', async t => {
    const clock = VirtualClock.create()
    let suspendedMs = 0
    const suspension = Suspension.create(clock, () => (clock.now() + suspendedMs) / 1000)
    await clock.advanceBy(PAUSE_MS)
    t.is(suspension.look(PAUSE_MS), 0)
    await clock.advanceBy(PAUSE_MS + 3000)
    t.is(suspension.look(PAUSE_MS), 3000)
    await clock.advanceBy(PAUSE_MS)
    suspendedMs = 5000
    t.is(Math.round(suspension.look(PAUSE_MS)), 5000)
    await clock.advanceBy(PAUSE_MS)
    t.is(Math.round(suspension.look(PAUSE_MS)), 0)
  })
})
