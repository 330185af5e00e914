/**
 * After a laptop was suspended or a virtual machine was moved, the process continues
 * with a list of servers of which some have left meanwhile. Late timers alone do not
 * show it, because the monotonic clock does not advance during a suspension.
 */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { SuspensionDetector } from '../suspensionDetector.js'

const PAUSE_MS = 200

describe('SuspensionDetector', () => {
  it('detects a freeze by its late timer and a suspension by the wall clock', async t => {
    const clock = VirtualClock.create()
    let suspendedMs = 0
    const detector = SuspensionDetector.create(clock, () => (clock.now() + suspendedMs) / 1000)
    await clock.advanceBy(PAUSE_MS)
    t.is(detector.measureSuspendedMs(PAUSE_MS), 0)
    await clock.advanceBy(PAUSE_MS + 3000)
    t.is(detector.measureSuspendedMs(PAUSE_MS), 3000)
    await clock.advanceBy(PAUSE_MS)
    suspendedMs = 5000
    t.is(Math.round(detector.measureSuspendedMs(PAUSE_MS)), 5000)
    await clock.advanceBy(PAUSE_MS)
    t.is(Math.round(detector.measureSuspendedMs(PAUSE_MS)), 0)
  })
})
