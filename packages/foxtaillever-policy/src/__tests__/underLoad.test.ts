import { FailureCode, PlacementPolicy, PriorityClass, Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { Callers, firstTokenQuantile, selectAnswered, type Call, type CallerResult } from '../__fixtures__/callers.js'

/** Approximate capacity of the fake fleet of six servers, answers a second. */
const CAPACITY = 160

const WARM_UP_MS = 5000
const DRAIN_MS = 10_000

/** Eight accounts with three prefixes each. */
function createMixedCalls (callers: Callers): () => Call {
  return () => ({ account: `account-${1 + callers.random.below(8)}`, prefix: `prefix-${callers.random.below(3)}`, timeoutMs: 5000 })
}

function arrivedSince (callers: Callers, instant: number): CallerResult[] {
  return callers.results.filter(({ job }) => job.arrivedAt >= instant)
}

/** Runs a load for a while and lets it drain; returns the results of requests that arrived after the warm-up. */
function runMixed (callers: Callers, requestsPerSecond: number, milliseconds = 15_000): CallerResult[] {
  const start = callers.now
  callers.run(milliseconds, callers.createArrivals(requestsPerSecond, createMixedCalls(callers)))
  callers.run(DRAIN_MS)
  return arrivedSince(callers, start + WARM_UP_MS)
}

function runWithHotAccount (requestsPerSecond: number): CallerResult[] {
  const callers = Callers.create({ instances: 2 })
  const others = callers.createArrivals(60, createMixedCalls(callers))
  const own = callers.createArrivals(requestsPerSecond, () => ({ account: 'hot', prefix: `hot-${callers.random.below(2)}` }))
  const start = callers.now
  callers.run(15_000, () => {
    others()
    own()
  })
  callers.run(DRAIN_MS)
  return arrivedSince(callers, start + WARM_UP_MS)
}

function once<Value> (compute: () => Value): () => Value {
  let value: Value | undefined
  return () => {
    value ??= compute()
    return value
  }
}

function hitRate (results: readonly CallerResult[]): number {
  const done = selectAnswered(results)
  return done.reduce((sum, { cachedTokens }) => sum + cachedTokens, 0) / done.reduce((sum, { job }) => sum + job.promptTokens, 0)
}

describe('scheduling under load', () => {
  describe('an even load', () => {
    // Prefix affinity and load balancing conflict. With a router that only spreads
    // load, users wait for prefills that another server has just done.
    it('finds prefixes cached as often as prefix affinity does', t => {
      const hits = [PlacementPolicy.ExpectedFirstToken, PlacementPolicy.PrefixAffinity, PlacementPolicy.RoundRobin]
        .map(placement => hitRate(runMixed(Callers.create({ instances: 3, preset: { placement } }), 60)))
      t.true(hits[0] as number >= (hits[1] as number) * 0.98)
      t.true(hits[0] as number > (hits[2] as number))
    })
  })

  describe('a hot prefix that changes', () => {
    // Four of five requests carry a new catalogue, which half-way is replaced by
    // another. With one home for each prefix, its callers queue at that server
    // while the other servers idle.
    const runHot = (placement: PlacementPolicy): CallerResult[] => {
      const callers = Callers.create({ instances: 3, preset: { placement } })
      const start = callers.now
      const others = createMixedCalls(callers)
      callers.run(20_000, callers.createArrivals(90, () => {
        const prefix = callers.now < start + 10_000 ? 'hot-1' : 'hot-2'
        return callers.random.next() < 0.8 ? { account: 'account-1', prefix } : others()
      }))
      callers.run(DRAIN_MS)
      return arrivedSince(callers, start + WARM_UP_MS)
    }
    const spread = once(() => runHot(PlacementPolicy.ExpectedFirstToken))
    const single = once(() => runHot(PlacementPolicy.PrefixAffinity))

    it('is spread, so that its callers wait less than half as long as with one home', t => {
      t.true(firstTokenQuantile(spread(), 0.99) <= firstTokenQuantile(single(), 0.99) / 2)
    })

    it('is spread, so that nineteen in twenty callers wait less than half as long as with one home', t => {
      t.true(firstTokenQuantile(spread(), 0.95) <= firstTokenQuantile(single(), 0.95) / 2)
    })
  })

  describe('a burst', () => {
    // Two hundred requests arrive within a few milliseconds at an idle fleet. Each
    // caller must get its answer or an early refusal.
    it('answers or refuses every caller in time', t => {
      const callers = Callers.create({ instances: 2 })
      const call = createMixedCalls(callers)
      Array.from({ length: 200 }).forEach(() => callers.sendRequest(call()))
      callers.run(DRAIN_MS)
      t.true(callers.results.every(({ state }) => state === 'answered' || state === 'refused'))
      t.true(selectAnswered(callers.results).every(({ endMs }) => endMs <= 5000))
      t.true(selectAnswered(callers.results).length > 100)
    })
  })

  describe('overload', () => {
    // More requests arrive than the fleet can answer. Without admission control
    // each waits until its deadline has passed, the servers compute answers that
    // are too late, and no caller is served.
    const atCapacity = once(() => selectAnswered(runMixed(Callers.create({ instances: 2 }), CAPACITY)).length)
    for (const factor of [1.5, 2, 4]) {
      it(`keeps goodput at ${factor} times the capacity, and refuses at once`, t => {
        const callers = Callers.create({ instances: 2 })
        const results = runMixed(callers, CAPACITY * factor)
        t.true(selectAnswered(results).length >= atCapacity() * 0.9)
        t.true(selectAnswered(results).every(({ endMs }) => endMs <= 5000))
        const refused = results.filter(({ state }) => state === 'refused')
        t.true(refused.length > 0)
        t.true(refused.filter(({ endMs }) => endMs > 50).length <= refused.length * 0.01)
        t.true(refused.every(({ failure }) => failure?.verdict === Verdict.NotRun))
        t.is(results.length, selectAnswered(results).length + refused.length)
      })
    }

    // A refusal states when to retry. If that time is too early, the same callers
    // are refused again and again and add to the load.
    it('accepts a refused caller that retries at the stated time', t => {
      const callers = Callers.create()
      const call = createMixedCalls(callers)
      callers.run(3000, callers.createArrivals(CAPACITY * 4, call))
      const refused = callers.results.filter(({ failure }) => failure?.code === FailureCode.DeadlineUnreachable)
      const last = refused.at(-1) as CallerResult
      callers.run(Math.max(0, (last.failure?.retryAt ?? 0) - callers.now))
      const retry = callers.sendRequest({ ...call(), account: last.job.account })
      callers.run(DRAIN_MS)
      t.is(retry.state, 'answered')
    })
  })

  describe('a hot account', () => {
    // One account's script sends ten times its share. Its own requests must queue;
    // users of other accounts must hardly notice.
    it('waits itself and hardly changes the median of the other accounts', t => {
      const [even, hot] = [1, 10].map(factor => runWithHotAccount(8 * factor)) as [CallerResult[], CallerResult[]]
      const others = (results: readonly CallerResult[]): CallerResult[] => results.filter(({ job }) => job.account !== 'hot')
      const own = hot.filter(({ job }) => job.account === 'hot')
      t.true(firstTokenQuantile(others(hot), 0.5) <= firstTokenQuantile(others(even), 0.5) * 1.2)
      t.true(firstTokenQuantile(others(hot), 0.99) < firstTokenQuantile(own, 0.5) / 2)
      t.true(others(hot).every(({ state }) => state === 'answered'))
    })
  })

  describe('priority work under overload', () => {
    // The load is twice the capacity while the firm sends priority requests. These
    // must run first, and the other accounts must still get answers.
    it('is answered soon and starves no account', t => {
      const callers = Callers.create({ instances: 2 })
      const others = callers.createArrivals(CAPACITY * 2, createMixedCalls(callers))
      const firm = callers.createArrivals(10, () => ({ account: 'firm', priority: PriorityClass.Priority, prefix: `case-${callers.random.below(2)}`, timeoutMs: 5000 }))
      const start = callers.now
      callers.run(15_000, () => {
        others()
        firm()
      })
      callers.run(DRAIN_MS)
      const results = arrivedSince(callers, start + WARM_UP_MS)
      const [own, rest] = [true, false].map(isFirm => results.filter(({ job }) => (job.account === 'firm') === isFirm)) as [CallerResult[], CallerResult[]]
      t.true(own.every(({ state }) => state === 'answered'))
      t.true(firstTokenQuantile(own, 0.99) < firstTokenQuantile(rest, 0.5))
      const served = new Set(selectAnswered(rest).map(({ job }) => job.account))
      t.is(served.size, 8)
    })
  })

  describe('long jobs among short ones', () => {
    // A few requests carry whole judgments. If they took every slot of a server,
    // short questions would wait for seconds.
    it('leave the short ones fast', t => {
      const callers = Callers.create()
      const short = callers.createArrivals(60, createMixedCalls(callers))
      const long = callers.createArrivals(3, () => ({ account: 'long', prefix: 'judgment', prefixTokens: 512, promptTokens: 8000, answerTokens: 200 }))
      const start = callers.now
      callers.run(15_000, () => {
        short()
        long()
      })
      callers.run(DRAIN_MS)
      const results = arrivedSince(callers, start + WARM_UP_MS)
      const longOnes = results.filter(({ job }) => job.account === 'long')
      t.true(firstTokenQuantile(results.filter(({ job }) => job.account !== 'long'), 0.95) < firstTokenQuantile(longOnes, 0.5))
      t.true(longOnes.length > 0 && longOnes.every(({ state }) => state === 'answered'))
    })
  })

  describe('a slow backend server', () => {
    // One of six servers becomes ten times slower but still answers correctly, so
    // nothing fails, but every request sent to it is late.
    it('gets hardly any work after five seconds, and its share again once it has recovered', t => {
      const callers = Callers.create({ instances: 2 })
      const load = callers.createArrivals(60, createMixedCalls(callers))
      const slow = callers.servers[0] as Callers['servers'][number]
      callers.run(WARM_UP_MS, load)
      slow.slowness = 10
      const start = callers.now
      callers.run(20_000, load)
      const results = arrivedSince(callers, start + 5000)
      const slowResults = results.filter(({ servers }) => servers.includes(slow.name))
      t.true(slowResults.length <= results.length * 0.02)
      slow.slowness = 1
      callers.run(60_000, load)
      const later = arrivedSince(callers, callers.now - 10_000)
      t.true(later.filter(({ servers }) => servers.includes(slow.name)).length > later.length * 0.05)
    })

    // All servers become slow together, as when a shared store stalls. Ejecting
    // any of them would gain nothing.
    it('is not ejected when all servers are slow', t => {
      const callers = Callers.create()
      callers.servers.forEach(server => { server.slowness = 4 })
      callers.run(15_000, callers.createArrivals(20, createMixedCalls(callers)))
      const [state] = callers.schedulers.map(scheduler => scheduler.dump())
      t.true(Object.values(state?.servers ?? {}).every(({ standing }) => standing === 'open'))
    })
  })

  describe('an outage of all backend servers', () => {
    // All servers refuse connections for five seconds and restart empty. Without a
    // retry budget the retries would be several times the callers' requests.
    it('causes few retries, and ends with requests being served at once', t => {
      const callers = Callers.create({ instances: 2 })
      const load = callers.createArrivals(60, createMixedCalls(callers))
      callers.run(WARM_UP_MS, load)
      callers.servers.forEach(server => {
        callers.crashServer(server)
        server.isDown = true
      })
      callers.run(5000, load)
      callers.servers.forEach(server => { server.isDown = false })
      const recoveredAt = callers.now
      callers.run(10_000, load)
      callers.run(DRAIN_MS)
      const sends = callers.results.reduce((sum, result) => sum + result.sends, 0)
      // Retries are limited to a tenth of the first attempts, plus the saved budget of two instances.
      t.true(sends <= callers.results.length * 1.1 + 2 * 20)
      const after = arrivedSince(callers, recoveredAt + 2000)
      t.true(selectAnswered(after).length >= after.length * 0.99)
    })
  })

  describe('a restart of half the backend servers', () => {
    // Three of six servers crash at once and restart empty. The requests in flight
    // are idempotent, so they are retried and their callers get answers.
    it('leaves every idempotent request answered', t => {
      const callers = Callers.create({ instances: 2 })
      const load = callers.createArrivals(60, createMixedCalls(callers))
      callers.run(WARM_UP_MS, load)
      callers.servers.slice(0, 3).forEach(server => callers.crashServer(server))
      callers.run(10_000, load)
      callers.run(DRAIN_MS)
      t.true(callers.results.every(({ state }) => state === 'answered'))
    })
  })

  describe('a request that crashes its server', () => {
    // One prompt crashes each engine that runs it, and its caller retries through
    // every instance. Without quarantine it takes down the fleet.
    it('crashes two servers at most, and the other requests in flight are answered', t => {
      const callers = Callers.create({ instances: 2 })
      const load = callers.createArrivals(60, createMixedCalls(callers))
      callers.crashingFingerprints.add('bad')
      callers.run(3000, load)
      const bad = Array.from({ length: 4 }, (_, index) => {
        const result = callers.sendRequest({ fingerprint: 'bad' }, index % 2)
        callers.run(1000, load)
        const [first, second] = callers.schedulers as [Callers['schedulers'][number], Callers['schedulers'][number]]
        second.applySuspects(first.suspectsToAnnounce(callers.now), callers.now)
        first.applySuspects(second.suspectsToAnnounce(callers.now), callers.now)
        return result
      })
      callers.run(DRAIN_MS)
      t.is(callers.servers.filter(({ incarnation }) => incarnation > 1).length, 2)
      t.deepEqual(bad.map(({ state }) => state), ['failed', 'refused', 'refused', 'refused'])
      t.is(bad[1]?.failure?.code, FailureCode.Quarantined)
      const others = callers.results.filter(({ job }) => job.fingerprint !== 'bad')
      t.true(others.every(({ state }) => state === 'answered'))
    })
  })

  describe('the same seed', () => {
    // Without replay, a decision could not be explained.
    it('gives the same decisions', t => {
      const [first, second] = [1, 2].map(() => runMixed(Callers.create({ instances: 2, seed: 7 }), 100, 8000).map(({ servers, state, endMs }) => ({ servers, state, endMs })))
      t.deepEqual(first, second)
    })
  })
})
