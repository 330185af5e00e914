/** The retry budget of a fleet in every window, against an oracle that sees all arrivals. */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { RetryShare } from '../retryShare.js'

const allowance = { ratio: 0.2, slack: 20, windowMs: 10_000 }
const INSTANCES = 4

/** One request, or one more arrival that an instance would like to send. */
interface Step {
  readonly afterMs: number
  readonly instance: number
  readonly isRetry: boolean
}

const step: fc.Arbitrary<Step> = fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), instance: fc.integer({ min: 0, max: INSTANCES - 1 }), isRetry: fc.boolean() })

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
      const shares = Array.from({ length: INSTANCES }, () => RetryShare.create(allowance, -allowance.windowMs))
      shares.forEach(share => share.observeInstances(INSTANCES))
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { afterMs, instance, isRetry } of steps) {
        now += afterMs
        const share = shares[instance] as RetryShare
        if (!isRetry) {
          share.addRequest('s', now)
          requests.push(now)
        } else if (share.take('s', now)) {
          retries.push(now)
        }
      }
      return countOverrun(requests, retries) === 0
    }), { seed: 7, numRuns: 300 })
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
})
