import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { PartCache, TokenEngine, type PartUse, type AcceptedOrder, type TokenRun } from 'foxtaillever-standins'
import { Disturbances } from '../disturbances.js'
import { limitComplaints, serverComplaints, statementComplaints } from '../serverPromises.js'
import type { SoakedFleet } from '../soakedFleet.js'

const ENGINE = { slots: 4, maxWaiting: 4, memoryTokens: 10_000, stepMs: 1, prefillTokensPerMs: 100, chunkTokens: 1000 }

function createRun (requestId: string, changes: Partial<TokenRun> = {}): TokenRun {
  return {
    requestId, model: 'm1', salt: 'shared/w1', parts: [{ id: 'a', tokens: 500 }], promptTokens: 600, outputTokens: 1, priority: 1, resumeAfter: 0, account: 'acme', sink: { started: () => {}, token: () => {}, finished: () => {} }, ...changes
  }
}

/** Two runs one after the other, at engines that share a store of cached parts. */
async function usesOf (first: Partial<TokenRun>, versions: readonly [number, number]): Promise<readonly PartUse[]> {
  const clock = VirtualClock.create()
  const store = PartCache.create(5000)
  const [one, other] = versions.map(version => TokenEngine.create(ENGINE, clock, () => version))
  one?.submit(createRun('q1', { saveTo: store, ...first }))
  await clock.advanceBy(100)
  other?.submit(createRun('q2', { fetchFrom: store }))
  await clock.advanceBy(100)
  return other?.uses ?? []
}

function complaintsOf (seen: { readonly uses?: readonly PartUse[], readonly taken?: readonly AcceptedOrder[] }): string[] {
  const { uses = [], taken = [] } = seen
  const fleet = { operator: { drains: [] }, platform: { partUses: () => uses, acceptedOrders: () => [...taken] } } as unknown as SoakedFleet
  return serverComplaints(fleet, Disturbances.create(() => 0))
}

function order (holder: string, fence: number, at: number): AcceptedOrder {
  return { holder, fence, at, model: 'm1', version: 2 }
}

describe('what servers saw in a soak', () => {
  it('is fine when a level is fetched under the weights that made it', async t => {
    const uses = await usesOf({}, [1, 1])
    t.is(uses.length, 1)
    t.deepEqual(complaintsOf({ uses }), [])
  })

  // Weights change and the name under which a level is cached does not: callers get answers that no weights would give.
  it('shows a level that other weights made', async t => {
    t.deepEqual(complaintsOf({ uses: await usesOf({}, [1, 2]) }), ['q2 built on level a of weights 1 under weights 2'])
  })

  // Two accounts use one name for a level though one of them must share nothing.
  it('shows a level from behind a wall', async t => {
    t.deepEqual(complaintsOf({ uses: await usesOf({ account: 'walled' }, [1, 1]) }), ['q2 of acme built on level a of walled'])
  })

  // An instance that stood still goes on ordering under a lease that has gone to another.
  it('shows orders of one whose lease has gone to another', t => {
    t.deepEqual(complaintsOf({ taken: [order('a', 1, 10), order('b', 2, 20)] }), [])
    t.deepEqual(complaintsOf({ taken: [order('a', 1, 10), order('b', 2, 20), order('a', 1, 30)] }), ['a ordered under fence 1 after b under 2'])
    t.deepEqual(complaintsOf({ taken: [order('a', 1, 10), order('b', 1, 20)] }), ['b and a both ordered under fence 1'])
  })

  // A limit that each instance keeps for itself lets through as many times what the server takes.
  it('shows more requests than a server stated that it takes', t => {
    const complaintsAt = (times: readonly number[]): number => {
      const server = { id: 's', arrivals: times.map(at => ({ at, statedLimit: '1' })) }
      const fleet = { operator: { rates: [{ server, perSecond: 1, from: 0, until: Infinity }] } } as unknown as SoakedFleet
      return limitComplaints(fleet, Disturbances.create(() => 0)).length
    }
    const most = Array.from({ length: 11 }, (_, index) => 3000 + index * 350)
    t.is(complaintsAt(most), 0)
    t.is(complaintsAt([...most, 6900]), 1)
    t.is(complaintsAt(Array.from({ length: 50 }, (_, index) => index * 10)), 0)
  })
})

describe('what servers said of themselves in a soak', () => {
  interface Given {
    readonly at: number
    readonly isLeaving?: boolean
    readonly restMs?: number
  }

  /** Complaints about one server and one instance; answers come with the requests, and an outage may lie between. */
  async function complaintsAfter (given: readonly Given[], outage?: string): Promise<string[]> {
    let now = 0
    const clocked = (): Disturbances => Disturbances.create(() => now)
    const [outages, cuts] = [clocked(), clocked()]
    if (outage !== undefined) {
      now = 1000
      await outages.during(async () => {}, outage)
    }
    const arrivals = given.map(({ at, isLeaving = false, restMs = 0 }, index) => ({ requestId: `q${index}`, at, startedAt: 1, answer: { at, isLeaving, backoffMs: restMs } }))
    const sent = given.map(({ at, isLeaving }, index) => ({ id: `q${index}`, instance: 0, sentAt: at, leavingReceivedAt: isLeaving === true ? at : undefined }))
    const fleet = { platform: { servers: [{ id: 's', arrivals }] }, instances: [{ address: 'a' }] } as unknown as SoakedFleet
    return statementComplaints(fleet, sent, outages, cuts)
  }

  // Guards against an oracle that sees nothing.
  it('shows requests that a leaving server got later than it may', async t => {
    t.deepEqual(await complaintsAfter([{ at: 100, isLeaving: true }, { at: 2100 }]), [])
    t.is((await complaintsAfter([{ at: 100, isLeaving: true }, { at: 2101 }])).length, 1)
    t.is((await complaintsAfter([{ at: 100, isLeaving: true }, { at: 2101 }], 'b')).length, 1)
    t.deepEqual(await complaintsAfter([{ at: 100, isLeaving: true }, { at: 2101 }], 'a'), [])
  })

  it('shows more than two requests in a rest', async t => {
    const inRest = [700, 900].map(at => ({ at }))
    t.deepEqual(await complaintsAfter([{ at: 100, restMs: 3000 }, { at: 500 }, ...inRest, { at: 3100 }]), [])
    t.is((await complaintsAfter([{ at: 100, restMs: 3000 }, ...inRest, { at: 3099 }])).length, 1)
  })
})

describe('disturbances of a soak', () => {
  it('excuse what happens while they last and shortly after', async t => {
    let now = 1000
    const disturbances = Disturbances.create(() => now)
    await disturbances.during(async () => { now = 2000 })
    t.true(disturbances.wasCalm(0, 900))
    t.false(disturbances.wasCalm(0, 1000))
    t.false(disturbances.wasCalm(4000, 4500))
    t.true(disturbances.wasCalm(5500, 6000))
  })
})
