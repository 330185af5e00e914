import { describe, it } from 'foxtaillever-testing'
import { SeededRandom } from 'foxtaillever-core'
import { ConnectionLimit } from '../connectionLimit.js'

/** Work of a request, and of a connection that is closed unread, milliseconds of the event loop. */
const REQUEST_MS = 10
const CLOSE_MS = 0.1

/** A request that begins later is of no use, milliseconds. */
const OBJECTIVE_MS = 400

const TICK_MS = 50
const CROWD_PER_S = 900

/** As a share of what the instance can do. */
const MIN_GOODPUT = 0.95

interface Played {
  /** Requests a second that began in time while the crowd came, from some time on. */
  readonly inTimePerS: number
  /** Requests that were read and began too late then. */
  readonly late: number
  /** Connections that were turned away after the crowd had gone. */
  readonly turnedAwayAfter: number
}

/** One instance whose event loop works off what it has accepted, in order. */
function play (perSecond: number, othersDelayMs: number, crowdMs = 8000): Played {
  const limit = ConnectionLimit.create()
  const random = SeededRandom.create(7)
  const counts = { inTime: 0, late: 0, turnedAwayAfter: 0 }
  let [workUntil, tickAt] = [0, TICK_MS]
  /** When the requests of kept connections are read. */
  let readAt: number[] = []
  const observeUntil = (now: number): void => {
    for (; tickAt <= now; tickAt = Math.max(tickAt, workUntil) + TICK_MS) {
      // A timer runs when what was accepted before is worked off.
      limit.observe(Math.max(0, workUntil - tickAt), othersDelayMs, Math.max(tickAt, workUntil))
    }
  }
  const usualPerS = 40
  for (let now = 0; now < crowdMs + 8000; now += 1000 / (now < crowdMs ? perSecond : usualPerS) * 2 * random.next()) {
    observeUntil(now)
    readAt = readAt.filter(at => at > now)
    if (limit.admit(readAt.length, now)) {
      const delay = Math.max(0, workUntil - now)
      readAt.push(now + delay)
      workUntil = Math.max(workUntil, now) + REQUEST_MS
      if (now > 3000 && now < crowdMs) {
        counts[delay <= OBJECTIVE_MS ? 'inTime' : 'late'] += 1
      }
    } else {
      workUntil = Math.max(workUntil, now) + CLOSE_MS
      counts.turnedAwayAfter += now > crowdMs + 4000 ? 1 : 0
    }
  }
  return { inTimePerS: counts.inTime / (crowdMs - 3000) * 1000, late: counts.late, turnedAwayAfter: counts.turnedAwayAfter }
}

describe('ConnectionLimit', () => {
  // Guards against an instance that reads all requests of a crowd and answers none of them in time.
  it('keeps the goodput of an instance to which most new connections go', t => {
    const { inTimePerS, late, turnedAwayAfter } = play(CROWD_PER_S, 10)
    const capacity = (1000 - CLOSE_MS * CROWD_PER_S) / REQUEST_MS
    t.true(inTimePerS >= MIN_GOODPUT * capacity, `${inTimePerS} of ${capacity} a second`)
    t.is(late, 0)
    t.is(turnedAwayAfter, 0)
  })

  // Guards against connections that are turned away although the other instances are as late.
  it('turns none away where all instances are late', t => {
    const limit = ConnectionLimit.create()
    for (let now = 0; now < 5000; now += TICK_MS) {
      limit.observe(300, 300, now)
      t.true(limit.admit(100, now))
    }
  })

  // Guards against an instance that turns connections away for a moment's delay.
  it('turns none away after a short stall', t => {
    const limit = ConnectionLimit.create()
    limit.observe(200, 5, 0)
    t.true(limit.admit(100, 1))
    t.false(limit.isActive)
  })
})
