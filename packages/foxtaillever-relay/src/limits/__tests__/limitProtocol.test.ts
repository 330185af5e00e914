import { LimitOutcome, LimitRole, type SharedLimit } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { allowed, LimitFleet, quotaKind, type FleetNode } from '../__fixtures__/limitFleet.js'
import { LimitHistory } from '../__fixtures__/limitHistory.js'
import { LimitProtocol } from '../limitProtocol.js'
import { LimitScope, type LimitMessage, type LimitRequest } from '../limitMessage.js'
import { DatagramKind } from '../../peers/datagram.js'

const ACCOUNT = 'acme'
const LARGE = 9190

/** The smallest quota: two large requests a second. */
const small: SharedLimit = { perSecond: 18_000, burst: 18_000, revision: 1 }

/** The usual load of an account, as a share of its quota. */
const USUAL = 0.55

/** Load of a runaway account, as a multiple of its usual load. */
const RUNAWAY = 7.5

function rankedNodes (fleet: LimitFleet): FleetNode[] {
  const [node] = fleet.up()
  return (node?.limitOwners.of(ACCOUNT) ?? []).flatMap(address => fleet.nodes.filter(candidate => candidate.address === address))
}

function kill (nodes: readonly FleetNode[]): void {
  nodes.forEach(node => { node.isDown = true })
}

/** The nodes restart at their addresses and know all addresses from the store. */
function restart (fleet: LimitFleet, nodes: readonly FleetNode[], bootMs = 0): void {
  nodes.forEach(({ address }) => fleet.add(address, fleet.nodes.map(node => node.address), bootMs))
}

/** Time from power-on to the first request on a small machine, milliseconds. */
const BOOT_MS = 1000

/** Share of the claims that were not granted, with or without a decision. */
function refusedShare (fleet: LimitFleet): number {
  const claims = fleet.claims.get(ACCOUNT) ?? []
  const refused = claims.filter(({ result }) => result.outcome !== LimitOutcome.Granted)
  return refused.length / claims.length
}

describe('quotas over a fleet', () => {
  for (const size of [8, 70, 195, 380]) {
    describe(`of ${size}`, () => {
      // A runaway script sends many times its account's limit, spread over all instances. Each sees so little
      // that a per-instance share would not catch it, and the callers of other accounts wait for the engines.
      it('an account far over its limit gets its limit and no more', async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 12_000)
        const max = fleet.maxInWindow(fleet.admitted(ACCOUNT))
        t.true(max <= allowed(small), `${max} of ${allowed(small)}`)
        const admitted = fleet.admitted(ACCOUNT).reduce((sum, { cost }) => sum + cost, 0)
        t.true(admitted >= small.perSecond * 12 * 0.99, `${admitted} were admitted`)
      })

      // With per-instance shares, the second large request at one instance would be refused, and the account
      // would get half of the quota that was sold.
      it('an account below its limit is not refused, wherever its requests land', async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 8000)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 8000, ([first]) => first)
        t.true(refusedShare(fleet) < 0.01, `${refusedShare(fleet)} was refused`)
      })
    })
  }

  describe('when instances fail', () => {
    // The fleet is partitioned into halves while an account far exceeds its limit at both. Each half has an instance that
    // would decide, and both together would admit the limit twice.
    for (const size of [8, 70]) {
      it(`the partitioned halves of ${size} together stay within the limit`, async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE, 4000)
        const [owner, standby] = rankedNodes(fleet)
        fleet.nodes.forEach((node, index) => { node.side = index % 2 })
        Object.assign(owner as FleetNode, { side: 0 })
        Object.assign(standby as FleetNode, { side: 1 })
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 12_000)
        fleet.nodes.forEach(node => { node.side = 0 })
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 8000)
        const max = fleet.maxInWindow(fleet.admitted(ACCOUNT))
        t.true(max <= allowed(small), `${max} of ${allowed(small)}`)
      })
    }

    // An account far from its limit runs away just when half of the instances lose its owner. What they admit from their
    // allowances and report to the unreachable owner is counted nowhere.
    it('instances that lose the owner of an account far from its limit stop admitting without a decision', async t => {
      const large: SharedLimit = { perSecond: 900_000, burst: 900_000, revision: 1 }
      const fleet = await LimitFleet.start(195)
      const [owner, standby] = rankedNodes(fleet)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE / 10, 4000)
      fleet.nodes.forEach((node, index) => { node.side = index % 2 })
      Object.assign(owner as FleetNode, { side: 0 })
      Object.assign(standby as FleetNode, { side: 1 })
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL * RUNAWAY, LARGE, 12_000)
      const max = fleet.maxInWindow(fleet.admitted(ACCOUNT))
      t.true(max <= allowed(large), `${max} of ${allowed(large)}`)
    })

    // The instances that decide on the account lose power. The instance that takes over knows nothing of the last
    // seconds; if it took the account for unused, it would admit the whole burst again.
    for (const [name, dead] of [['owner', [0]], ['owner and its standby', [0, 1]], ['owner, its standby and the reserve', [0, 1, 2]]] as const) {
      it(`the ${name} may die and restart without a second burst`, async t => {
        const fleet = await LimitFleet.start(70)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 6000)
        const ranked = rankedNodes(fleet)
        const killed = fleet.nodes.filter((node, index) => ranked.indexOf(node) === -1 ? index % 2 === 0 : dead.some(rank => ranked[rank] === node))
        kill(killed)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 2000)
        restart(fleet, killed)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * RUNAWAY, LARGE, 8000)
        const max = fleet.maxInWindow(fleet.admitted(ACCOUNT))
        t.true(max <= allowed(small), `${max} of ${allowed(small)}`)
      })
    }

    // The owner dies under usual load: the account is below its limit, and its callers should not notice.
    it('the death of the owner alone refuses hardly any request of an account below its limit', async t => {
      const fleet = await LimitFleet.start(70)
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 2000)
      const [owner] = rankedNodes(fleet)
      kill([owner as FleetNode])
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 3500)
      restart(fleet, [owner as FleetNode])
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 4000)
      t.true(refusedShare(fleet) < 0.05, `${refusedShare(fleet)} was refused`)
    })

    // All instances lose power together. The account's owner knows nothing of the time before, only that its own process
    // has decided nothing since it started. Callers that were cut off retry at once.
    it('an account below its limit is not refused after a restart of all', async t => {
      const large: SharedLimit = { perSecond: 900_000, burst: 900_000, revision: 1 }
      const fleet = await LimitFleet.start(70)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE, 2000)
      fleet.claims.clear()
      kill(fleet.nodes)
      await fleet.pass(2500)
      restart(fleet, fleet.nodes, BOOT_MS)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL * 3, LARGE, 500)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE, 4000)
      t.true(refusedShare(fleet) < 0.01, `${refusedShare(fleet)} was refused`)
    })

    it('no claim waits long for an owner that does not answer, and after two claims none waits at all', async t => {
      const fleet = await LimitFleet.start(70)
      const [owner] = rankedNodes(fleet)
      kill([owner as FleetNode])
      const [requester] = fleet.up()
      for (let index = 0; index < 5; index++) {
        fleet.claim(requester as FleetNode, ACCOUNT, small, 100)
        await fleet.pass(250)
      }
      const waits = (fleet.claims.get(ACCOUNT) ?? []).map(({ waitedMs }) => waitedMs)
      t.is(waits.length, 5)
      t.true(waits.every(ms => ms <= 200), String(waits))
      t.true(waits.slice(2).every(ms => ms <= 10), String(waits))
    })
  })

  // The last instance leaves: it no longer decides, and there is no other instance to query.
  it('an instance that knows no instance that decides sends no messages', async t => {
    const clock = VirtualClock.create()
    const recipients: string[] = []
    const protocol = LimitProtocol.create({ ...quotaKind, clock, address: 'a:1', ranking: () => [], stableSince: () => 0, instanceCount: () => 1, send: to => { recipients.push(to) }, onInstanceSeen: () => {}, onDecided: () => {}, onUnresponsive: () => {} })
    const outcomes: LimitOutcome[] = []
    protocol.claim({ key: ACCOUNT, limit: small, cost: 1 }, ({ outcome }) => { outcomes.push(outcome) })
    protocol.refund(ACCOUNT, 1)
    await clock.advanceBy(1000)
    t.deepEqual(recipients, [])
    t.deepEqual(outcomes, [LimitOutcome.NotMine])
  })

  // Guards against a restarted instance that takes a late response to a claim of its former process for one to its own.
  it('a response to a claim of the former process decides on no claim of the new one', async t => {
    const clock = VirtualClock.create()
    const requests: LimitMessage[] = []
    const create = (): LimitProtocol => LimitProtocol.create({ ...quotaKind, clock, address: 'a:1', ranking: () => ['b:1'], stableSince: () => 0, instanceCount: () => 2, send: (_, message) => { requests.push(message) }, onInstanceSeen: () => {}, onDecided: () => {}, onUnresponsive: () => {} })
    const outcomes: LimitOutcome[] = []
    create().claim({ key: 'former', limit: small, cost: 1 }, () => {})
    const [request] = requests as [LimitRequest]
    await clock.advanceBy(BOOT_MS)
    const restarted = create()
    restarted.claim({ key: ACCOUNT, limit: small, cost: 1 }, ({ outcome }) => { outcomes.push(outcome) })
    restarted.receive({ kind: DatagramKind.LimitResponse, scope: LimitScope.Account, address: 'b:1', number: request.number, key: 'former', outcome: LimitOutcome.Granted, role: LimitRole.Owner, retryMs: 0, free: 0, owner: '' })
    t.deepEqual(outcomes, [])
  })

  describe('when the limit changes', () => {
    // An operator lowers the limit far below the load. Earlier requests must not count against the new limit for long,
    // and the old limit must no longer apply.
    it('a lower limit applies once the first instance knows it, and no later window exceeds it', async t => {
      const fleet = await LimitFleet.start(70)
      let limit: SharedLimit = { perSecond: 180_000, burst: 180_000, revision: 1 }
      await fleet.load(ACCOUNT, () => limit, 300_000, LARGE, 4000)
      limit = { ...small, revision: 2 }
      await fleet.pass(1)
      const before = fleet.admitted(ACCOUNT).length
      await fleet.load(ACCOUNT, () => limit, 300_000, LARGE, 10_000)
      const after = fleet.admitted(ACCOUNT).slice(before).reduce((sum, { cost }) => sum + cost, 0)
      t.true(after <= small.perSecond * 10 * 1.1 + small.burst + 72_000, `${after} were admitted in ten seconds`)
      t.true(after >= small.perSecond * 8, `${after} were admitted in ten seconds`)
    })
  })

  // Faults are combined, drawn from a seed. An account admitted beyond its limit takes the engines' memory from all others.
  describe('through histories of faults', () => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      it(`no window exceeds the limit, seed ${seed}`, async t => {
        const { changes, worst } = await LimitHistory.play(seed, seed % 2 === 0 ? 8 : 70)
        t.true(worst <= 1, `${worst.toFixed(2)} of what is allowed, with ${changes.join(', ')}`)
      })
    }
  })

  describe('refused callers', () => {
    // If all got the same time, they would retry together and be refused again.
    it('get successive retry times, at which there is room', async t => {
      const fleet = await LimitFleet.start(70)
      const [requester] = fleet.up()
      for (let index = 0; index < 12; index++) {
        fleet.claim(requester as FleetNode, ACCOUNT, small, LARGE)
        await fleet.pass(20)
      }
      const refused = (fleet.claims.get(ACCOUNT) ?? []).filter(({ result }) => result.outcome === LimitOutcome.Refused)
      const instants = refused.map(({ result }) => result.retryAt)
      t.true(instants.length >= 6, String(instants.length))
      instants.slice(1).forEach((at, index) => t.true(at - (instants[index] as number) > 300, String(instants)))
      await fleet.pass((instants[0] as number) - fleet.clock.now() + 5)
      fleet.claim(requester as FleetNode, ACCOUNT, small, LARGE)
      await fleet.pass(20)
      t.is(fleet.claims.get(ACCOUNT)?.at(-1)?.result.outcome, LimitOutcome.Granted)
    })
  })
})
