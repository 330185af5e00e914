/** The retry budget of a fleet in every window, against an oracle that sees all arrivals. */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { RetryShare } from '../retryShare.js'

const allowance = { ratio: 0.2, slack: 20, windowMs: 10_000 }
const INSTANCES = 4

enum Happening {
  /** A caller's request. */
  Request = 'request',
  /** One more arrival that an instance would like to send. */
  Retry = 'retry',
  /** The instance is killed and starts again, unless it has done so within the window. */
  Restart = 'restart'
}

interface Step {
  readonly afterMs: number
  readonly instance: number
  readonly happening: Happening
}

const happening = fc.oneof({ weight: 50, arbitrary: fc.constant(Happening.Request) }, { weight: 50, arbitrary: fc.constant(Happening.Retry) }, { weight: 2, arbitrary: fc.constant(Happening.Restart) })

const step: fc.Arbitrary<Step> = fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), instance: fc.integer({ min: 0, max: INSTANCES - 1 }), happening })

function startShare (startedAt: number): RetryShare {
  const share = RetryShare.create(allowance, startedAt)
  share.observeInstances(INSTANCES)
  return share
}

/** In how many windows, each beginning at an arrival, more retries came than the requests and the constant allow. */
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
  // A service is in trouble and every request fails. All instances want to send
  // theirs again, and together they would double the load that brought it down.
  it('is kept in every window by all instances together, whatever comes when', t => {
    fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 600 }), steps => {
      const shares = Array.from({ length: INSTANCES }, () => startShare(-allowance.windowMs))
      const restartable = shares.map(() => 0)
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { afterMs, instance, happening } of steps) {
        now += afterMs
        const share = shares[instance] as RetryShare
        if (happening === Happening.Restart && now >= (restartable[instance] ?? 0)) {
          shares[instance] = startShare(now)
          restartable[instance] = now + allowance.windowMs
        } else if (happening === Happening.Request) {
          share.addRequest('s', now)
          requests.push(now)
        } else if (happening === Happening.Retry && share.take('s', now)) {
          retries.push(now)
        }
      }
      return countOverrun(requests, retries) === 0
    }), { seed: 7, numRuns: 600 })
    t.pass()
  })

  it('lets retries through again when the window has passed', t => {
    const share = RetryShare.create(allowance, -allowance.windowMs)
    share.observeInstances(1)
    let taken = 0
    while (share.take('s', 0)) {
      taken += 1
    }
    t.true(taken > 0)
    t.false(share.canTake('s', allowance.windowMs - 1))
    t.true(share.canTake('s', allowance.windowMs + 1))
  })

  // All processes are killed while every request fails, and start again at once.
  // Each would spend its part of the constant anew, or all of it, as none has
  // heard of the others yet.
  it('is kept when all instances start again within a window, before they have heard of each other', t => {
    const killedAt = 1000
    const spend = (share: RetryShare, now: number): number => {
      let taken = 0
      while (share.take('s', now)) {
        taken += 1
      }
      return taken
    }
    const lives = Array.from({ length: INSTANCES }, () => [RetryShare.create(allowance, -allowance.windowMs), RetryShare.create(allowance, killedAt)] as const)
    const before = lives.reduce((sum, [first]) => {
      first.observeInstances(INSTANCES)
      return sum + spend(first, 0)
    }, 0)
    const unheard = lives.reduce((sum, [, second]) => sum + spend(second, killedAt), 0)
    const heard = lives.reduce((sum, [, second]) => {
      second.observeInstances(INSTANCES)
      return sum + spend(second, allowance.windowMs - 1)
    }, 0)
    t.true(before > 0)
    t.is(unheard, 0)
    t.true(before + heard <= allowance.slack)
  })

  // A fleet starts for the first time, and its first callers meet a server that
  // is full. Nothing was sent before, so nothing need be kept free for it.
  it('is there from the start for an instance that never ran before', t => {
    const [first, later] = [RetryShare.create(allowance, 0), RetryShare.create(allowance, 0)]
    first.observeInstances(1)
    first.observeFirstLife()
    later.observeInstances(1)
    const count = (share: RetryShare): number => {
      let taken = 0
      while (share.take('s', 0)) {
        taken += 1
      }
      return taken
    }
    t.is(count(first), 16)
    t.is(count(later), 4)
  })
})
