import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { PartCache, TokenEngine, type PartUse, type AcceptedOrder, type TokenRun } from 'foxtaillever-standins'
import { Disturbances } from '../disturbances.js'
import { limitViolations, serverViolations, statementViolations } from '../serverViolations.js'
import type { SoakFleet } from '../soakFleet.js'

const ENGINE = { slots: 4, maxWaiting: 4, memoryTokens: 10_000, stepMs: 1, prefillTokensPerMs: 100, chunkTokens: 1000 }

function createRun (requestId: string, changes: Partial<TokenRun> = {}): TokenRun {
  return {
    requestId, model: 'm1', salt: 'shared/w1', parts: [{ id: 'a', tokens: 500 }], promptTokens: 600, outputTokens: 1, priority: 1, resumeAfter: 0, account: 'acme', sink: { started: () => {}, token: () => {}, finished: () => {} }, ...changes
  }
}

/** Runs two requests one after the other, on engines that share a store of cached parts. */
async function runTwice (first: Partial<TokenRun>, versions: readonly [number, number]): Promise<readonly PartUse[]> {
  const clock = VirtualClock.create()
  const store = PartCache.create(5000)
  const [firstEngine, secondEngine] = versions.map(version => TokenEngine.create(ENGINE, clock, () => version))
  firstEngine?.submit(createRun('q1', { saveTo: store, ...first }))
  await clock.advanceBy(100)
  secondEngine?.submit(createRun('q2', { fetchFrom: store }))
  await clock.advanceBy(100)
  return secondEngine?.uses ?? []
}

function violationsOf (seen: { readonly uses?: readonly PartUse[], readonly orders?: readonly AcceptedOrder[] }): string[] {
  const { uses = [], orders = [] } = seen
  const fleet = { operator: { drains: [] }, platform: { partUses: () => uses, acceptedOrders: () => [...orders] } } as unknown as SoakFleet
  return serverViolations(fleet, Disturbances.create(() => 0))
}

function createOrder (holder: string, fence: number, at: number): AcceptedOrder {
  return { holder, fence, at, model: 'm1', version: 2 }
}

describe('violations that servers recorded in a soak', () => {
  it('are none when a level is fetched under the weights that made it', async t => {
    const uses = await runTwice({}, [1, 1])
    t.is(uses.length, 1)
    t.deepEqual(violationsOf({ uses }), [])
  })

  // If weights change but the key of a cached level doesn't, callers get answers that no version of the weights would give.
  it('include a level that other weights made', async t => {
    t.deepEqual(violationsOf({ uses: await runTwice({}, [1, 2]) }), ['q2 built on level a of weights 1 under weights 2'])
  })

  // Guards against two accounts that share one cache key for a level though one of them is isolated.
  it('include a level of an isolated account', async t => {
    t.deepEqual(violationsOf({ uses: await runTwice({ account: 'walled' }, [1, 1]) }), ['q2 of acme built on level a of walled'])
  })

  // An instance that was suspended goes on ordering under a lease that has passed to another.
  it('include orders of a holder whose lease has passed to another', t => {
    t.deepEqual(violationsOf({ orders: [createOrder('a', 1, 10), createOrder('b', 2, 20)] }), [])
    t.deepEqual(violationsOf({ orders: [createOrder('a', 1, 10), createOrder('b', 2, 20), createOrder('a', 1, 30)] }), ['a ordered under fence 1 after b under 2'])
    t.deepEqual(violationsOf({ orders: [createOrder('a', 1, 10), createOrder('b', 1, 20)] }), ['b and a both ordered under fence 1'])
  })

  // If each instance applied the limit on its own, the server would get the limit times the number of instances.
  it('include more requests than a server stated that it accepts', t => {
    const countViolations = (times: readonly number[]): number => {
      const server = { id: 's', arrivals: times.map(at => ({ at, statedLimit: '1' })) }
      const fleet = { operator: { rates: [{ server, perSecond: 1, from: 0, until: Infinity }] } } as unknown as SoakFleet
      return limitViolations(fleet, Disturbances.create(() => 0)).length
    }
    const allowedTimes = Array.from({ length: 11 }, (_, index) => 3000 + index * 350)
    t.is(countViolations(allowedTimes), 0)
    t.is(countViolations([...allowedTimes, 6900]), 1)
    t.is(countViolations(Array.from({ length: 50 }, (_, index) => index * 10)), 0)
  })
})

describe('violations of server statements in a soak', () => {
  interface Given {
    readonly at: number
    readonly isLeaving?: boolean
    readonly backoffMs?: number
  }

  /** Violations at one server by one instance. Each request is answered at once; `outage` is the address of an instance that had an outage in between. */
  async function violationsAfter (given: readonly Given[], outage?: string): Promise<string[]> {
    let now = 0
    const createDisturbances = (): Disturbances => Disturbances.create(() => now)
    const [outages, cuts] = [createDisturbances(), createDisturbances()]
    if (outage !== undefined) {
      now = 1000
      await outages.recordDuring(async () => {}, outage)
    }
    const arrivals = given.map(({ at, isLeaving = false, backoffMs = 0 }, index) => ({ requestId: `q${index}`, at, startedAt: 1, answer: { at, isLeaving, backoffMs } }))
    const sent = given.map(({ at, isLeaving }, index) => ({ id: `q${index}`, instance: 0, sentAt: at, leavingReceivedAt: isLeaving === true ? at : undefined }))
    const fleet = { platform: { servers: [{ id: 's', arrivals }] }, instances: [{ address: 'a' }] } as unknown as SoakFleet
    return statementViolations(fleet, sent, outages, cuts)
  }

  // Guards against an oracle that finds no violation at all.
  it('include requests that a leaving server got too late', async t => {
    t.deepEqual(await violationsAfter([{ at: 100, isLeaving: true }, { at: 2100 }]), [])
    t.is((await violationsAfter([{ at: 100, isLeaving: true }, { at: 2101 }])).length, 1)
    t.is((await violationsAfter([{ at: 100, isLeaving: true }, { at: 2101 }], 'b')).length, 1)
    t.deepEqual(await violationsAfter([{ at: 100, isLeaving: true }, { at: 2101 }], 'a'), [])
  })

  it('include more than two requests during a backoff', async t => {
    const duringBackoff = [700, 900].map(at => ({ at }))
    t.deepEqual(await violationsAfter([{ at: 100, backoffMs: 3000 }, { at: 500 }, ...duringBackoff, { at: 3100 }]), [])
    t.is((await violationsAfter([{ at: 100, backoffMs: 3000 }, ...duringBackoff, { at: 3099 }])).length, 1)
  })
})

describe('disturbances of a soak', () => {
  it('cover their duration and a short time after', async t => {
    let now = 1000
    const disturbances = Disturbances.create(() => now)
    await disturbances.recordDuring(async () => { now = 2000 })
    t.true(disturbances.wasUndisturbed(0, 900))
    t.false(disturbances.wasUndisturbed(0, 1000))
    t.false(disturbances.wasUndisturbed(4000, 4500))
    t.true(disturbances.wasUndisturbed(5500, 6000))
  })
})
