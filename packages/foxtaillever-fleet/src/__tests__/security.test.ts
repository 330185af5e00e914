import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, namesOf, testKey } from '../__fixtures__/fakeFleet.js'
import { MemberState } from '../membership/member.js'
import { encodeMessage, MessageKind, type Message } from '../membership/message.js'
import { KeyRing, Permission } from '../security/keyRing.js'
import { seal } from '../security/seal.js'
import { FactKind } from '../softState/fact.js'

async function createFleet () {
  const clock = VirtualClock.create()
  const fake = FakeFleet.create(clock, 6)
  const instances = await fake.startAll(4)
  await clock.advanceBy(8000)
  return { clock, fake, instances }
}

function createMessage (now: number, name: string, changes: Partial<Message>): Message {
  return {
    kind: MessageKind.MemberUpdates,
    sender: name,
    incarnation: now,
    sequence: 1,
    sentAt: now,
    probe: 0,
    about: '',
    position: { revision: 999, offset: 999, digest: 'ffffffff' },
    tableDigest: 1,
    entries: [],
    facts: [],
    ...changes
  }
}

describe('forged and replayed messages', () => {
  it('change nothing when signed with a key that is not in the key ring', async t => {
    // An attacker on the network forges a message that declares every member dead and
    // contains a fact and a revision of its own.
    const { clock, fake, instances } = await createFleet()
    const target = instances[0]!
    const stranger = KeyRing.create([{ ...testKey, secret: 'another secret of sixteen' }])
    const entries = target.fleet.memberEntries().map(entry => ({ ...entry, incarnation: entry.incarnation + 5, state: MemberState.Dead }))
    const facts = [{ source: 'stranger', kind: FactKind.Suspect, key: 'x', version: 1, deadline: clock.now() + 10_000, value: 1 }]
    const bytes = seal(stranger, Permission.Join, encodeMessage(createMessage(clock.now(), 'stranger', { entries, facts })))
    const before = target.fleet.dump()
    fake.network.inject(target.address, bytes)
    const after = target.fleet.dump()
    t.deepEqual(after.members, before.members)
    t.is(after.facts, 0)
    t.is(after.traffic.forged, before.traffic.forged + 1)
    t.is(after.traffic.sentMessages, before.traffic.sentMessages)
  })

  it('do not restore a member that has left', async t => {
    // If a recorded message of a member were accepted after the member left, the
    // member would become home of keys again although no process answers there.
    const { clock, fake, instances } = await createFleet()
    const [target, leaver] = [instances[0]!, instances[1]!]
    const recorded = fake.network.sent.filter(({ from, to }) => from === leaver.address && to === target.address)
    t.true(recorded.length > 0)
    await leaver.fleet.stop()
    await clock.advanceBy(1000)
    const before = target.fleet.dump()
    recorded.forEach(({ bytes }) => fake.network.inject(target.address, bytes))
    const after = target.fleet.dump()
    t.false(namesOf(target).includes(leaver.name))
    t.deepEqual(after.members, before.members)
    t.is(after.traffic.replayed, before.traffic.replayed + recorded.length)
  })

  it('only increase a counter when malformed, even if a member signed them', async t => {
    const { clock, fake, instances } = await createFleet()
    const target = instances[0]!
    const before = target.fleet.dump()
    const entry = { ...target.fleet.memberEntries()[0]!, name: 7 as unknown as string }
    const wrongEntry = encodeMessage(createMessage(clock.now(), 'member', { entries: [entry] }))
    const bodies = [Buffer.from([0xc1]), Buffer.from('{"kind":1}'), Buffer.from([0x93, 1, 2, 3]), Buffer.alloc(0), wrongEntry]
    bodies.forEach(body => fake.network.inject(target.address, seal(target.keys, Permission.Join, body)))
    t.is(target.fleet.dump().traffic.forged, before.traffic.forged + bodies.length)
  })

  it('are not counted, and no member is lost, while the key is rotated', async t => {
    const { clock, instances } = await createFleet()
    const next = { id: 'k2', secret: 'the next secret of sixteen', permissions: [Permission.Join] }
    for (const keys of [[testKey, next], [next, testKey], [next]]) {
      for (const instance of instances) {
        instance.keys.replace(keys)
        await clock.advanceBy(700)
      }
    }
    await clock.advanceBy(10_000)
    instances.forEach(instance => {
      t.is(namesOf(instance).length, 4)
      t.is(instance.fleet.dump().traffic.forged, 0)
    })
  })
})
