import { LimitOutcome, type SharedLimit } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { allowed, LimitFleet, quotaKind, type Node } from '../__fixtures__/limitFleet.js'
import { LimitHistory } from '../__fixtures__/limitHistory.js'
import { LimitProtocol } from '../limitProtocol.js'

const ACCOUNT = 'acme'
const LARGE = 9190

/** The smallest quota: two large requests a second. */
const small: SharedLimit = { perSecond: 18_000, burst: 18_000, revision: 1 }

/** The usual use of an account, as a part of its quota. */
const USUAL = 0.55

/** How many times its usual a runaway account sends. */
const HOT = 7.5

function rankOf (fleet: LimitFleet): Node[] {
  const [node] = fleet.up()
  return (node?.limitOwners.of(ACCOUNT) ?? []).flatMap(address => fleet.nodes.filter(other => other.address === address))
}

function kill (nodes: readonly Node[]): void {
  nodes.forEach(node => { node.isDown = true })
}

/** They start again at their addresses, and know them all from the store. */
function restart (fleet: LimitFleet, nodes: readonly Node[], bootMs = 0): void {
  nodes.forEach(({ address }) => fleet.add(address, fleet.nodes.map(node => node.address), bootMs))
}

/** From power to the first request of a small machine, milliseconds. */
const BOOT_MS = 1000

/** Tokens refused by anybody or nobody, as a part of what was asked for. */
function refusedPart (fleet: LimitFleet): number {
  const asked = fleet.asked.get(ACCOUNT) ?? []
  const refused = asked.filter(({ result }) => result.outcome !== LimitOutcome.Granted)
  return refused.length / asked.length
}

describe('quotas over a fleet', () => {
  for (const size of [8, 70, 195, 380]) {
    describe(`of ${size}`, () => {
      // An account's script runs away: it sends many times its limit to all instances, each of which
      // sees so little of it that no share of its own could tell. Callers of all others wait for the engines that it takes.
      it('an account far over its limit gets what it may have and no more', async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 12_000)
        const most = fleet.mostInWindow(fleet.admitted(ACCOUNT))
        t.true(most <= allowed(small), `${most} of ${allowed(small)}`)
        const admitted = fleet.admitted(ACCOUNT).reduce((sum, { cost }) => sum + cost, 0)
        t.true(admitted >= small.perSecond * 12 * 0.99, `${admitted} were admitted`)
      })

      // A limit by shares would refuse the second large request that one instance sees; the account's owner
      // would be turned away at a half of what was sold.
      it('an account below its limit is not refused, wherever its requests land', async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 8000)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 8000, ([first]) => first)
        t.true(refusedPart(fleet) < 0.01, `${refusedPart(fleet)} was refused`)
      })
    })
  }

  describe('when instances fail', () => {
    // The halves of a fleet lose each other while an account sends far too much to both: each half has somebody who would
    // decide, and both together would admit the limit twice.
    for (const size of [8, 70]) {
      it(`halves of ${size} that do not hear each other together stay within the limit`, async t => {
        const fleet = await LimitFleet.start(size)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE, 4000)
        const [owner, standby] = rankOf(fleet)
        fleet.nodes.forEach((node, index) => { node.side = index % 2 })
        Object.assign(owner as Node, { side: 0 })
        Object.assign(standby as Node, { side: 1 })
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 12_000)
        fleet.nodes.forEach(node => { node.side = 0 })
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 8000)
        const most = fleet.mostInWindow(fleet.admitted(ACCOUNT))
        t.true(most <= allowed(small), `${most} of ${allowed(small)}`)
      })
    }

    // An account far from its limit runs away at the moment when half of the instances lose its owner: what they admit
    // without a decision, and tell somebody who cannot hear it, is counted nowhere.
    it('instances that lose the owner of an account far from its limit do not go on without a decision', async t => {
      const large: SharedLimit = { perSecond: 900_000, burst: 900_000, revision: 1 }
      const fleet = await LimitFleet.start(195)
      const [owner, standby] = rankOf(fleet)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE / 10, 4000)
      fleet.nodes.forEach((node, index) => { node.side = index % 2 })
      Object.assign(owner as Node, { side: 0 })
      Object.assign(standby as Node, { side: 1 })
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL * HOT, LARGE, 12_000)
      const most = fleet.mostInWindow(fleet.admitted(ACCOUNT))
      t.true(most <= allowed(large), `${most} of ${allowed(large)}`)
    })

    // Power is lost where the account is kept: whoever takes over knows nothing of the last seconds, and one that
    // believed the account fresh would admit its whole burst again.
    for (const [name, dead] of [['owner', [0]], ['owner and its standby', [0, 1]], ['owner, its standby and the reserve', [0, 1, 2]]] as const) {
      it(`the ${name} may die and start again without a second burst`, async t => {
        const fleet = await LimitFleet.start(70)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 6000)
        const ranked = rankOf(fleet)
        const killed = fleet.nodes.filter((node, index) => ranked.indexOf(node) === -1 ? index % 2 === 0 : dead.some(rank => ranked[rank] === node))
        kill(killed)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 2000)
        restart(fleet, killed)
        await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL * HOT, LARGE, 8000)
        const most = fleet.mostInWindow(fleet.admitted(ACCOUNT))
        t.true(most <= allowed(small), `${most} of ${allowed(small)}`)
      })
    }

    // The owner dies under usual load: its account is below its limit, and its callers should not notice.
    it('the death of the owner alone costs an account below its limit hardly anything', async t => {
      const fleet = await LimitFleet.start(70)
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 2000)
      const [owner] = rankOf(fleet)
      kill([owner as Node])
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 3500)
      restart(fleet, [owner as Node])
      await fleet.load(ACCOUNT, () => small, small.perSecond * USUAL, LARGE / 10, 4000)
      t.true(refusedPart(fleet) < 0.05, `${refusedPart(fleet)} was refused`)
    })

    // All instances lose power together. Whoever keeps the account knows nothing of the time before, but that its own
    // process has not decided on anything since it started. Callers that were cut off come back at once.
    it('an account below its limit is not refused after a restart of all', async t => {
      const large: SharedLimit = { perSecond: 900_000, burst: 900_000, revision: 1 }
      const fleet = await LimitFleet.start(70)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE, 2000)
      fleet.asked.clear()
      kill(fleet.nodes)
      await fleet.pass(2500)
      restart(fleet, fleet.nodes, BOOT_MS)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL * 3, LARGE, 500)
      await fleet.load(ACCOUNT, () => large, large.perSecond * USUAL, LARGE, 4000)
      t.true(refusedPart(fleet) < 0.01, `${refusedPart(fleet)} was refused`)
    })

    it('nobody waits long for an owner that does not answer, and after two questions nobody waits at all', async t => {
      const fleet = await LimitFleet.start(70)
      const [owner] = rankOf(fleet)
      kill([owner as Node])
      const [asker] = fleet.up()
      for (let index = 0; index < 5; index++) {
        fleet.ask(asker as Node, ACCOUNT, small, 100)
        await fleet.pass(250)
      }
      const waits = (fleet.asked.get(ACCOUNT) ?? []).map(({ waitedMs }) => waitedMs)
      t.is(waits.length, 5)
      t.true(waits.every(ms => ms <= 200), String(waits))
      t.true(waits.slice(2).every(ms => ms <= 10), String(waits))
    })
  })

  // The last instance leaves: it decides no more, and nobody is left to tell.
  it('an instance that knows nobody who decides tells nobody', async t => {
    const clock = VirtualClock.create()
    const told: string[] = []
    const protocol = LimitProtocol.create({ ...quotaKind, clock, address: 'a:1', ranking: () => [], settledAt: () => 0, instances: () => 1, send: to => { told.push(to) }, onMet: () => {}, onDecided: () => {}, onPassedOver: () => {} })
    const outcomes: LimitOutcome[] = []
    protocol.claim({ key: ACCOUNT, limit: small, cost: 1 }, ({ outcome }) => { outcomes.push(outcome) })
    protocol.giveBack(ACCOUNT, 1)
    await clock.advanceBy(1000)
    t.deepEqual(told, [])
    t.deepEqual(outcomes, [LimitOutcome.NotMine])
  })

  describe('when the limit changes', () => {
    // An operator lowers the limit far below what is sent. What was sent before it must not count against the new
    // limit for long, and the old one must not go on.
    it('a lower one binds from the first instance that knows it, and no window after it is over', async t => {
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

  // Everything at once, drawn from a seed. An account that is admitted beyond its limit takes the engines' memory from all others.
  describe('through histories of faults', () => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      it(`no window is over the limit, seed ${seed}`, async t => {
        const { changes, worst } = await LimitHistory.play(seed, seed % 2 === 0 ? 8 : 70)
        t.true(worst <= 1, `${worst.toFixed(2)} of what is allowed, with ${changes.join(', ')}`)
      })
    }
  })

  describe('refused callers', () => {
    // Told the same instant, all of them come back at once and are refused again.
    it('are told instants one after the other, at which there is room', async t => {
      const fleet = await LimitFleet.start(70)
      const [asker] = fleet.up()
      for (let index = 0; index < 12; index++) {
        fleet.ask(asker as Node, ACCOUNT, small, LARGE)
        await fleet.pass(20)
      }
      const refused = (fleet.asked.get(ACCOUNT) ?? []).filter(({ result }) => result.outcome === LimitOutcome.Refused)
      const instants = refused.map(({ result }) => result.retryAt)
      t.true(instants.length >= 6, String(instants.length))
      instants.slice(1).forEach((at, index) => t.true(at - (instants[index] as number) > 300, String(instants)))
      await fleet.pass((instants[0] as number) - fleet.clock.now() + 5)
      fleet.ask(asker as Node, ACCOUNT, small, LARGE)
      await fleet.pass(20)
      t.is(fleet.asked.get(ACCOUNT)?.at(-1)?.result.outcome, LimitOutcome.Granted)
    })
  })
})
