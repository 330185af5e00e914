import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFenceLog } from '../__fixtures__/fakeFenceLog.js'
import { leaseHolderOf } from '../leaseHolder.js'
import { OrderLease } from '../orderLease.js'

const PAUSE_MS = 3000
const MACHINE = { name: 'front-1', address: '10.0.0.1:7340' }

interface Scene {
  readonly clock: VirtualClock
  readonly store: FakeFenceLog
}

function createLease ({ clock, store }: Scene, machine: typeof MACHINE, incarnation: string): OrderLease {
  return OrderLease.create({ clock, uptime: () => clock.now() / 1000, log: store.through({ lostShare: 0, isDown: false }), topic: 'lease', holder: leaseHolderOf(machine), incarnation, pauseMs: PAUSE_MS, onChanged: () => {}, onReleased: () => {} })
}

/** Milliseconds from the last moment in which the first machine could order until the next one can. */
async function measurePause (next: typeof MACHINE): Promise<number> {
  const clock = VirtualClock.create()
  const scene = { clock, store: FakeFenceLog.create(clock, SeededRandom.create(1)) }
  const first = createLease(scene, MACHINE, 'first')
  const acquired = first.acquire()
  await clock.advanceBy(100)
  await acquired
  const killedAt = clock.now()
  await clock.advanceBy(1000)
  const lease = createLease(scene, next, 'next')
  while (lease.fence() === undefined) {
    lease.acquire().catch(() => {})
    await clock.advanceBy(50)
  }
  return clock.now() - killedAt
}

describe('the lease on orders after its holder was lost', () => {
  // Guards against two machines that order the same engines within the pause, since the second bears the name of the first.
  it('is not taken at once by a replacement under the same name', async t => {
    t.true(await measurePause({ ...MACHINE, address: '10.0.0.4:7340' }) >= PAUSE_MS)
  })

  it('is taken at once by the same machine after a restart', async t => {
    t.true(await measurePause(MACHINE) < PAUSE_MS)
  })
})
