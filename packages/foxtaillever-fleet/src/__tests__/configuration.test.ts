import { PresetName } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, type Instance } from '../__fixtures__/fakeFleet.js'
import { ChangeKind } from '../configuration/change.js'
import { PublicationOutcome } from '../configuration/publisher.js'

const JOIN_MS = 8000

/** Time promised to operators until a change is in force everywhere, milliseconds. */
const IN_FORCE_MS = 8000

async function createFleet (count = 9) {
  const clock = VirtualClock.create()
  const fake = FakeFleet.create(clock, 5)
  const instances = await fake.startAll(count)
  await clock.advanceBy(JOIN_MS)
  return { clock, fake, instances }
}

async function switchPreset (instance: Instance, clock: VirtualClock, name: PresetName) {
  const base = instance.fleet.store.configuration().revision
  const publication = instance.fleet.publish({ base, author: 'operator', changes: [{ kind: ChangeKind.SwitchPreset, name }], deadline: clock.now() + 5000 })
  await clock.advanceBy(1000)
  return await publication
}

function presets (instances: readonly Instance[]): readonly PresetName[] {
  return [...new Set(instances.map(({ fleet }) => fleet.store.configuration().presetInForce))]
}

describe('configuration of a fleet', () => {
  it('comes into force everywhere, as reported to an operator who waits', async t => {
    const { clock, instances } = await createFleet()
    const publication = await switchPreset(instances[0]!, clock, PresetName.Peaks)
    t.is(publication.outcome, PublicationOutcome.Accepted)
    const wait = instances[0]!.fleet.waitInForce(publication.revision, clock.now() + IN_FORCE_MS)
    await clock.advanceBy(IN_FORCE_MS)
    t.deepEqual(await wait, { revision: publication.revision, live: 9, inForce: 9, missing: [] })
    t.deepEqual(presets(instances), [PresetName.Peaks])
  })

  it('reports the instances that do not have the revision', async t => {
    const { clock, fake, instances } = await createFleet()
    const isolated = instances[3]!
    fake.network.partition((from, to) => from === isolated.address || to === isolated.address)
    const publication = await switchPreset(instances[0]!, clock, PresetName.Peaks)
    const wait = instances[0]!.fleet.waitInForce(publication.revision, clock.now() + 500)
    await clock.advanceBy(600)
    t.deepEqual((await wait).missing, [isolated.name])
  })

  it('comes into force within seconds although each read of the log takes four seconds', async t => {
    const { clock, fake, instances } = await createFleet()
    fake.log.readDelayMs = 4000
    const revision = instances[0]!.fleet.store.configuration().revision
    const publication = instances[0]!.fleet.publish({ base: revision, author: 'operator', changes: [{ kind: ChangeKind.SwitchPreset, name: PresetName.Peaks }], deadline: clock.now() + 60_000 })
    await clock.advanceBy(IN_FORCE_MS)
    t.is((await publication).outcome, PublicationOutcome.Accepted)
    t.deepEqual(presets(instances), [PresetName.Peaks])
  })

  it('spreads from the only instance that read it before the log went down', async t => {
    // The log appends a change, one instance reads it, and the log goes down. If the
    // change did not spread, an accepted preset would be in force on one instance only.
    const { clock, fake, instances } = await createFleet()
    const publication = instances[0]!.fleet.publish({ base: 0, author: 'operator', changes: [{ kind: ChangeKind.SwitchPreset, name: PresetName.Peaks }], deadline: clock.now() + 5000 })
    instances[0]!.fleet.store.applyRecord(fake.log.allRecords()[0]!)
    fake.log.isDown = true
    await clock.advanceBy(IN_FORCE_MS)
    t.is((await publication).outcome, PublicationOutcome.Accepted)
    t.deepEqual(presets(instances), [PresetName.Peaks])
  })

  it('reaches an instance that starts while the log is down', async t => {
    const { clock, fake, instances } = await createFleet(4)
    await switchPreset(instances[0]!, clock, PresetName.Maintenance)
    fake.log.isDown = true
    const fresh = await fake.start('fresh')
    t.false(fresh.fleet.store.hasConfiguration())
    await clock.advanceBy(1500)
    t.is(fresh.fleet.store.configuration().presetInForce, PresetName.Maintenance)
    t.is(fresh.fleet.store.current().digest, instances[0]!.fleet.store.current().digest)
  })

  it('is unknown to an instance that starts without log and peers', async t => {
    const { clock, fake, instances } = await createFleet(2)
    await switchPreset(instances[0]!, clock, PresetName.Maintenance)
    fake.log.isDown = true
    await Promise.all(instances.map(({ fleet }) => fleet.stop()))
    const fresh = await fake.start('fresh')
    await clock.advanceBy(10_000)
    t.false(fresh.fleet.store.hasConfiguration())
  })

  it('does not revert when an outdated half of the fleet reconnects', async t => {
    // A network partition keeps the halves of the fleet apart while a preset changes.
    // When they reconnect, the old preset must not come back into force anywhere.
    const { clock, fake, instances } = await createFleet(6)
    const left = new Set(instances.slice(0, 3).map(({ address }) => address))
    fake.network.partition((from, to) => left.has(from) !== left.has(to))
    await switchPreset(instances[0]!, clock, PresetName.Peaks)
    await clock.advanceBy(120_000)
    const seen: PresetName[] = []
    instances[0]!.fleet.store.onChange(({ configuration }) => seen.push(configuration.presetInForce))
    fake.network.heal()
    await clock.advanceBy(20_000)
    t.deepEqual(presets(instances), [PresetName.Peaks])
    t.deepEqual(seen, [])
  })
})
