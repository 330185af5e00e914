/** Checks the retry budget of a fleet in every window against an oracle that sees all arrivals. */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { RetryShare } from '../retryShare.js'

const allowance = { ratio: 0.2, slack: 20, windowMs: 10_000 }
const INSTANCES = 4

enum EventKind {
  /** A caller's request. */
  Request = 'request',
  /** An instance wants to send a retry. */
  Retry = 'retry',
  /** The instance is killed and restarts. */
  Restart = 'restart'
}

interface Step {
  readonly afterMs: number
  readonly instance: number
  readonly kind: EventKind
}

const kind = fc.oneof({ weight: 50, arbitrary: fc.constant(EventKind.Request) }, { weight: 50, arbitrary: fc.constant(EventKind.Retry) }, { weight: 2, arbitrary: fc.constant(EventKind.Restart) })

const step: fc.Arbitrary<Step> = fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), instance: fc.integer({ min: 0, max: INSTANCES - 1 }), kind })

function createShare (startedAt: number): RetryShare {
  return RetryShare.create(allowance, startedAt, () => INSTANCES)
}

/** Uses all that is left now; returns how much it was. */
function spend (share: RetryShare, now: number): number {
  let taken = 0
  while (share.tryRetry('s', now)) {
    taken += 1
  }
  return taken
}

/** Counts the windows, each beginning at a retry, with more retries than the requests and the constant allow. */
function countOverrun (requests: readonly number[], retries: readonly number[]): number {
  return retries.filter(from => {
    const until = from + allowance.windowMs
    const isIn = (at: number): boolean => at >= from && at < until
    const before = requests.filter(at => at >= from - allowance.windowMs && at < from).length
    const within = Math.max(requests.filter(isIn).length, before)
    return retries.filter(isIn).length > allowance.ratio * within + allowance.slack
  }).length
}

describe('retry budget', () => {
  // A service is overloaded and every request fails. If all instances retried
  // their requests, they would double the load that caused the failure.
  it('is kept in every window by all instances together, in any order of events', t => {
    fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 600 }), steps => {
      const shares = Array.from({ length: INSTANCES }, () => createShare(-allowance.windowMs))
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { afterMs, instance, kind } of steps) {
        now += afterMs
        const share = shares[instance] as RetryShare
        if (kind === EventKind.Restart) {
          shares[instance] = createShare(now)
        } else if (kind === EventKind.Request) {
          share.addRequest('s', now)
          requests.push(now)
        } else if (kind === EventKind.Retry && share.tryRetry('s', now)) {
          retries.push(now)
        }
      }
      return countOverrun(requests, retries) === 0
    }), { seed: 7, numRuns: 600 })
    t.pass()
  })

  it('allows retries again when the window has passed', t => {
    const share = RetryShare.create(allowance, -allowance.windowMs, () => 1)
    const taken = spend(share, 0)
    t.true(taken > 0)
    t.is(spend(share, 0), 0)
    t.true(spend(share, allowance.windowMs) > 0)
  })

  // All processes are killed while every request fails, and restart at once. Each
  // could use its part of the constant again, or all of it, since none knows of
  // the others yet.
  it('is kept when all instances restart within a window, before they know of each other', t => {
    const killedAt = 1000
    const formers = Array.from({ length: INSTANCES }, () => createShare(-allowance.windowMs))
    const before = formers.reduce((sum, share) => sum + spend(share, 0), 0)
    const known: number[] = []
    const processes = formers.map(() => RetryShare.create(allowance, killedAt, () => known[0]))
    const usedBeforeKnown = processes.reduce((sum, share) => sum + spend(share, killedAt), 0)
    known.push(INSTANCES)
    const usedAfterKnown = processes.reduce((sum, share) => sum + spend(share, allowance.windowMs - 1), 0)
    t.true(before > 0)
    t.is(usedBeforeKnown, 0)
    t.true(before + usedAfterKnown <= allowance.slack)
  })

  // Guards against a process that takes itself for one without a past: a replacement has no record of the instance whose place it takes.
  it('begins empty for every process, and may be used a few seconds after its start', t => {
    const share = RetryShare.create(allowance, 0, () => 1)
    t.is(spend(share, 0), 0)
    t.true(spend(share, allowance.windowMs / 2) >= allowance.slack / 4)
  })

  // Guards against regions that lose each other for minutes and use the whole constant each, because they count only their own instances.
  it('does not grow while other instances are out of reach', t => {
    let instances = INSTANCES
    const share = RetryShare.create(allowance, -allowance.windowMs, () => instances)
    share.available('s', 0)
    instances = INSTANCES / 2
    t.true(share.available('s', allowance.windowMs) <= allowance.slack / INSTANCES)
  })
})
