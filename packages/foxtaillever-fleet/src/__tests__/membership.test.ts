import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, namesOf, type Instance } from '../__fixtures__/fakeFleet.js'
import { FactKind } from '../softState/fact.js'

const JOIN_MS = 8000

/** Longer than probes, suspicion and the spread of updates take together, milliseconds. */
const DEATH_MS = 15_000

const COUNT = 9

async function createFleet (count = COUNT, lossShare = 0) {
  const clock = VirtualClock.create()
  const fake = FakeFleet.create(clock, 5, lossShare)
  const instances = await fake.startAll(count)
  await clock.advanceBy(JOIN_MS)
  return { clock, fake, instances }
}

function allNames (instances: readonly Instance[]): readonly string[] {
  return instances.map(({ name }) => name).sort()
}

describe('members', () => {
  it('know each other within seconds when all start at once', async t => {
    const { instances } = await createFleet()
    instances.forEach(instance => t.deepEqual(namesOf(instance), allNames(instances)))
  })

  it('know each other although one datagram in ten is lost', async t => {
    const { instances } = await createFleet(COUNT, 0.1)
    instances.forEach(instance => t.is(namesOf(instance).length, COUNT))
  })

  it('drop a leaving member at once, without suspicion', async t => {
    const { clock, instances } = await createFleet()
    await instances[0]!.fleet.stop()
    await clock.advanceBy(600)
    instances.slice(1).forEach(instance => t.false(namesOf(instance).includes(instances[0]!.name)))
  })

  it('drop a crashed member, and admit its successor under the same name', async t => {
    // An instance crashes without notice and the platform replaces it. If the dead
    // instance stayed a member, it would stay home of claims that no instance collects.
    const { clock, fake, instances } = await createFleet()
    const name = instances[4]!.name
    await fake.crash(name)
    await clock.advanceBy(DEATH_MS)
    const others = instances.filter(instance => instance.name !== name)
    others.forEach(instance => t.false(namesOf(instance).includes(name)))
    const successor = await fake.start(name)
    await clock.advanceBy(JOIN_MS)
    ;[...others, successor].forEach(instance => t.is(namesOf(instance).length, COUNT))
  })

  it('stay members while the path between two of them is broken', async t => {
    // A switch drops packets between two instances only. Without indirect probes,
    // each would announce the other as dead to the whole fleet.
    const { clock, fake, instances } = await createFleet()
    const [a, b] = [instances[0]!.address, instances[1]!.address]
    fake.network.partition((from, to) => (from === a && to === b) || (from === b && to === a))
    await clock.advanceBy(20_000)
    instances.forEach(instance => t.is(namesOf(instance).length, COUNT))
  })

  it('drop a whole failure domain and keep the other members', async t => {
    const { clock, fake, instances } = await createFleet()
    const lost = instances.filter((_, index) => index % 3 === 0)
    const addresses = new Set(lost.map(({ address }) => address))
    fake.network.partition((from, to) => addresses.has(from) || addresses.has(to))
    await clock.advanceBy(DEATH_MS)
    const remaining = instances.filter(instance => !lost.includes(instance))
    remaining.forEach(instance => t.deepEqual(namesOf(instance), allNames(remaining)))
  })

  it('find each other again after a network partition of minutes', async t => {
    // A network partition makes each half of the fleet declare the other dead. If dead
    // members were never contacted again, the halves would stay two fleets for good.
    const { clock, fake, instances } = await createFleet()
    const left = new Set(instances.slice(0, 4).map(({ address }) => address))
    fake.network.partition((from, to) => left.has(from) !== left.has(to))
    await clock.advanceBy(180_000)
    instances.forEach((instance, index) => t.is(namesOf(instance).length, index < 4 ? 4 : 5))
    fake.network.heal()
    await clock.advanceBy(DEATH_MS)
    instances.forEach(instance => t.deepEqual(namesOf(instance), allNames(instances)))
  })

  it('are complete after most instances restarted under new names', async t => {
    const { clock, fake, instances } = await createFleet()
    await Promise.all(instances.slice(0, 6).map(instance => instance.fleet.stop()))
    fake.listed = fake.listed.slice(6)
    const fresh = await Promise.all([0, 1, 2, 3, 4, 5].map(index => fake.start(`fresh-${index}`)))
    await clock.advanceBy(JOIN_MS)
    const now = [...instances.slice(6), ...fresh]
    now.forEach(instance => t.deepEqual(namesOf(instance), allNames(now)))
  })

  describe('a suspended member', () => {
    it('that resumes is a member again and brings back no outdated state', async t => {
      // A virtual machine is suspended for a minute. Meanwhile it is declared dead,
      // another member leaves, and facts expire. When it resumes, it must neither
      // declare the others dead nor keep its outdated state.
      const clock = VirtualClock.create()
      const fake = FakeFleet.create(clock, 5)
      const instances = await fake.startAll(5)
      const suspendedClock = VirtualClock.create()
      const suspended = await fake.start('suspended', suspendedClock)
      for (let step = 0; step < 80; step += 1) {
        await clock.advanceBy(100)
        await suspendedClock.advanceTo(clock.now())
      }
      instances[0]!.fleet.announceFact(FactKind.Suspect, 'digest', 1, clock.now() + 30_000)
      await clock.advanceBy(600)
      await suspendedClock.advanceTo(clock.now())
      t.is(suspended.fleet.facts(FactKind.Suspect).length, 1)
      t.is(namesOf(suspended).length, 6)
      fake.network.partition((from, to) => from === suspended.address || to === suspended.address)
      await clock.advanceBy(30_000)
      await instances[1]!.fleet.stop()
      await clock.advanceBy(30_000)
      t.is(namesOf(instances[0]!).length, 4)
      fake.network.heal()
      for (let step = 0; step < 150; step += 1) {
        await clock.advanceBy(100)
        await suspendedClock.advanceTo(clock.now())
      }
      const live = [instances[0]!, instances[2]!, instances[3]!, instances[4]!, suspended]
      live.forEach(instance => t.deepEqual(namesOf(instance), allNames(live)))
      t.is(suspended.fleet.facts(FactKind.Suspect).length, 0)
    })

    it('whose name has a successor learns that it is superseded', async t => {
      // The platform replaced a suspended instance and gave its name to another. The
      // old process resumes and still believes that it has the name.
      const { clock, fake, instances } = await createFleet(4)
      const old = instances[3]!
      fake.network.partition((from, to) => from === old.address || to === old.address)
      await clock.advanceBy(20_000)
      const successor = await fake.start(old.name)
      await clock.advanceBy(JOIN_MS)
      fake.network.heal()
      await clock.advanceBy(JOIN_MS)
      t.true(old.fleet.isSuperseded())
      t.false(successor.fleet.isSuperseded())
      const seen = instances[0]!.fleet.members().find(member => member.name === old.name)
      t.is(seen?.address, successor.address)
    })
  })

  it('send the same traffic in two runs with the same seed', async t => {
    const runs = await Promise.all([createFleet(6, 0.2), createFleet(6, 0.2)])
    const [a, b] = runs.map(({ instances }) => instances.map(({ fleet }) => fleet.dump().traffic))
    t.deepEqual(a, b)
  })
})
