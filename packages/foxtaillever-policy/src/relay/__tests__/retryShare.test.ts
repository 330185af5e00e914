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
  /** The instance is killed and restarts, unless it already did within the window. */
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
  const share = RetryShare.create(allowance, startedAt)
  share.setInstances(INSTANCES)
  return share
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
      const restartable = shares.map(() => 0)
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { afterMs, instance, kind } of steps) {
        now += afterMs
        const share = shares[instance] as RetryShare
        if (kind === EventKind.Restart && now >= (restartable[instance] ?? 0)) {
          shares[instance] = createShare(now)
          restartable[instance] = now + allowance.windowMs
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
    const share = RetryShare.create(allowance, -allowance.windowMs)
    share.setInstances(1)
    let taken = 0
    while (share.tryRetry('s', 0)) {
      taken += 1
    }
    t.true(taken > 0)
    t.false(share.canRetry('s', allowance.windowMs - 1))
    t.true(share.canRetry('s', allowance.windowMs + 1))
  })

  // All processes are killed while every request fails, and restart at once. Each
  // could use its part of the constant again, or all of it, since none knows of
  // the others yet.
  it('is kept when all instances restart within a window, before they know of each other', t => {
    const killedAt = 1000
    const spend = (share: RetryShare, now: number): number => {
      let taken = 0
      while (share.tryRetry('s', now)) {
        taken += 1
      }
      return taken
    }
    const processes = Array.from({ length: INSTANCES }, () => [RetryShare.create(allowance, -allowance.windowMs), RetryShare.create(allowance, killedAt)] as const)
    const before = processes.reduce((sum, [first]) => {
      first.setInstances(INSTANCES)
      return sum + spend(first, 0)
    }, 0)
    const usedBeforeKnown = processes.reduce((sum, [, second]) => sum + spend(second, killedAt), 0)
    const usedAfterKnown = processes.reduce((sum, [, second]) => {
      second.setInstances(INSTANCES)
      return sum + spend(second, allowance.windowMs - 1)
    }, 0)
    t.true(before > 0)
    t.is(usedBeforeKnown, 0)
    t.true(before + usedAfterKnown <= allowance.slack)
  })

  // A fleet starts for the first time, and its first requests reach a full server.
  // Nothing was sent before, so no part of the budget need be reserved for it.
  it('is available from the start for an instance that never ran before', t => {
    const [first, later] = [RetryShare.create(allowance, 0), RetryShare.create(allowance, 0)]
    first.setInstances(1)
    first.recordFirstStart()
    later.setInstances(1)
    const count = (share: RetryShare): number => {
      let taken = 0
      while (share.tryRetry('s', 0)) {
        taken += 1
      }
      return taken
    }
    t.is(count(first), 16)
    t.is(count(later), 4)
  })
})
