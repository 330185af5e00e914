import fc from 'fast-check'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet } from '../../__fixtures__/fakeFleet.js'
import { FactKind, type Fact } from '../fact.js'
import { FactTable } from '../factTable.js'
import { childrenOf, TREE_FAN_OUT } from '../relayTree.js'

const fact: Fact = { source: 'one', kind: FactKind.ServerLoad, key: 'worker', version: 2, deadline: 500, value: 1 }

async function createFleet (count: number) {
  const clock = VirtualClock.create()
  const fake = FakeFleet.create(clock, 8)
  const instances = await fake.startAll(count)
  await clock.advanceBy(10_000)
  return { clock, fake, instances }
}

describe('soft state', () => {
  describe('FactTable', () => {
    it('keeps the latest version of a fact until its deadline', t => {
      const table = FactTable.create()
      t.true(table.applyFact(fact, 0))
      t.false(table.applyFact({ ...fact, version: 1, value: 0 }, 0))
      t.false(table.applyFact(fact, 0))
      table.expire(499)
      t.is(table.of(FactKind.ServerLoad).length, 1)
      table.expire(500)
      t.is(table.of(FactKind.ServerLoad).length, 0)
      t.is(table.size(), 0)
    })

    it('refuses a fact that is past its deadline or has an infinite one', t => {
      const table = FactTable.create()
      t.false(table.applyFact(fact, 500))
      t.false(table.applyFact({ ...fact, deadline: Infinity }, 0))
    })
  })

  describe('computed tree', () => {
    it('delivers each fact to each member exactly once, at every size', t => {
      fc.assert(fc.property(fc.integer({ min: 2, max: 400 }), fc.nat(), (count, pick) => {
        const names = Array.from({ length: count }, (_, index) => `instance-${index}`)
        const source = names[pick % count]!
        const received = names.flatMap(name => childrenOf(source, name, names))
        t.is(received.length, count - 1)
        t.is(new Set([...received, source]).size, count)
      }), { seed: 2, numRuns: 20 })
    })

    it('has one level up to one more member than a node has children', t => {
      const names = Array.from({ length: TREE_FAN_OUT + 1 }, (_, index) => `instance-${index}`)
      t.is(childrenOf('instance-3', 'instance-3', names).length, TREE_FAN_OUT)
    })
  })

  it('reaches all instances and expires at its deadline', async t => {
    const { clock, instances } = await createFleet(12)
    const received: string[] = []
    instances[11]!.fleet.onFact(({ key }) => received.push(key))
    t.true(instances[0]!.fleet.announceFact(FactKind.Suspect, 'digest', { deaths: 1 }, clock.now() + 5000))
    await clock.advanceBy(1200)
    instances.forEach(({ fleet }) => t.deepEqual(fleet.facts(FactKind.Suspect).map(({ value }) => value), [{ deaths: 1 }]))
    t.deepEqual(received, ['digest'])
    await clock.advanceBy(5000)
    instances.forEach(({ fleet }) => t.is(fleet.facts(FactKind.Suspect).length, 0))
  })

  it('gets older under overload without unbounded queues, and urgent facts go first', async t => {
    // One instance shares far more facts than a tick may send. Facts about
    // suspected requests must still be sent at once, and the queue of the others
    // must stay bounded.
    const { clock, instances } = await createFleet(4)
    const [sender, receiver] = [instances[0]!.fleet, instances[1]!.fleet]
    const shareAll = (): void => {
      for (let index = 0; index < 400; index += 1) {
        sender.announceFact(FactKind.HotPrefix, `prefix-${index}`, index, clock.now() + 60_000)
      }
    }
    shareAll()
    await clock.advanceBy(600)
    const waiting = sender.dump().factsWaiting
    shareAll()
    sender.announceFact(FactKind.Suspect, 'digest', 1, clock.now() + 60_000)
    await clock.advanceBy(600)
    t.is(receiver.facts(FactKind.Suspect).length, 1)
    t.true(waiting <= 1200 && sender.dump().factsWaiting <= 1201)
    await clock.advanceBy(60_000)
    t.is(sender.dump().factsWaiting, 0)
  })

  it('refuses a fact that does not fit into a datagram', async t => {
    const { clock, instances } = await createFleet(2)
    t.false(instances[0]!.fleet.announceFact(FactKind.HotPrefix, 'prefix', 'x'.repeat(2000), clock.now() + 1000))
  })
})
