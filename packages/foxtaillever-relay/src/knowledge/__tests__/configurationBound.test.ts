import { SeededRandom, type Random } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { CallFault, CONFIGURATION_BOUND_MS as BOUND_MS, FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const SEEDS = 30
const CONFIGURATIONS = 12

/** The store holds calls that arrive this soon before or after a record, milliseconds. */
const HELD_AROUND_MS = 60

type DrawFault = (random: Random, sinceRecordMs: number) => CallFault | undefined

/** What happens to calls to the store, by name. */
const faults: Readonly<Record<string, DrawFault>> = {
  'holds all calls that arrive around a record': (_, sinceRecordMs) => sinceRecordMs < HELD_AROUND_MS ? CallFault.Held : undefined,
  'holds half of the calls': random => random.next() < 0.5 ? CallFault.Held : undefined,
  'answers a fifth of the calls late': random => random.next() < 0.2 ? CallFault.Late : undefined,
  'leaves one connection in thirty silent': random => random.next() < 1 / 30 ? CallFault.Silent : undefined,
  'does all of that': (random, sinceRecordMs) => {
    const drawn = random.next()
    return sinceRecordMs < HELD_AROUND_MS || drawn < 0.3 ? CallFault.Held : drawn < 0.4 ? CallFault.Late : drawn < 0.42 ? CallFault.Silent : undefined
  }
}

/** Longest time from the acknowledgement of a configuration until an instance has it, milliseconds. */
async function measureDelay (seed: number, instances: number, drawFault: DrawFault): Promise<number> {
  const clock = VirtualClock.create()
  const random = SeededRandom.create(seed)
  const store = new FakeStore(clock)
  store.append('servers', 'a', 'ready')
  store.append('operators', 'config', '0')
  let recordAt = -Infinity
  const fleet = new FakeFleet(clock, store, Array.from({ length: instances }, (_, index) => `instance-${index}`))
  fleet.lossShare = 0.1
  await clock.advanceBy(3000)
  store.drawFault = topic => topic === 'operators' ? drawFault(random, clock.now() - recordAt) : undefined
  let longest = 0
  for (let version = 1; version <= CONFIGURATIONS; version += 1) {
    await clock.advanceBy(random.below(3000))
    store.append('operators', `weights-${version}`, String(version))
    recordAt = clock.now()
    await clock.advanceBy(random.below(25))
    store.append('operators', 'config', String(version))
    const acknowledgedAt = clock.now()
    await clock.advanceBy(2 * BOUND_MS)
    longest = Math.max(longest, ...fleet.instances.map(({ values, learnedAt }) => values.get('config') === String(version) ? (learnedAt.get('config') ?? Infinity) - acknowledgedAt : Infinity))
  }
  fleet.instances.forEach(({ name }) => fleet.kill(name))
  return longest
}

describe('a configuration that is written right after other records', () => {
  for (const [name, drawFault] of Object.entries(faults)) {
    // Guards against a change that no instance knows in time because the calls that should bring it are held, late or lost.
    it(`is in force at all instances within its bound if the store ${name}`, async t => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const instances = 3 + seed % 8
        const delay = await measureDelay(seed, instances, drawFault)
        t.true(delay <= BOUND_MS, `seed ${seed}, ${instances} instances: ${delay} ms`)
      }
    })
  }
})
