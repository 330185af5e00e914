/** The store is restored from a backup and assigns offsets again. */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']

/** Time limit for a new configuration or a server's leaving to reach all instances, milliseconds. */
const BOUND_MS = 2000

/** Entries that are missing after a recovery may be written again for this long, milliseconds. */
const RECOVERY_GRACE_MS = 2200

const OUTAGE_MS = 500
const LOST = 6

/** Versions of the configuration: the last one that is lost, and those that follow. */
const NEWEST_LOST = '7'
const NEW = '8'
const NEWER = '9'

interface Restored {
  readonly clock: VirtualClock
  readonly store: FakeStore
  readonly fleet: FakeFleet
}

interface Events {
  /** Changes to the store after the backup, which the restore loses. */
  readonly lost?: (store: FakeStore) => void
  /** Changes to the restored store before any call reaches it. */
  readonly beforeCalls?: (store: FakeStore) => void
}

async function restoreStore ({ lost, beforeCalls }: Events = {}): Promise<Restored> {
  const clock = VirtualClock.create()
  const store = new FakeStore(clock)
  store.append('operators', 'config', '1')
  store.append('servers', 's', 'ready')
  store.append('servers', 'other', 'ready')
  const fleet = new FakeFleet(clock, store, NAMES)
  await clock.advanceBy(3000)
  const copy = store.copy()
  lost?.(store)
  for (let count = 0; count < LOST; count += 1) {
    store.append('operators', 'config', String(2 + count))
    store.append('servers', 'other', `ready|${count}`)
    await clock.advanceBy(500)
  }
  store.isDown = true
  await clock.advanceBy(OUTAGE_MS)
  store.restore(copy)
  beforeCalls?.(store)
  store.isDown = false
  return { clock, store, fleet }
}

describe('StoreReplica of a store that was restored from a backup', () => {
  // Guards against records that are skipped because their offsets were assigned before.
  it('has later records within the time limit, even at lower offsets', async t => {
    const { clock, store, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    store.append('operators', 'config', NEW)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('config') !== NEW), [])
  })

  // Guards against a reader that continues at its former offset when the topic has grown past it meanwhile.
  it('misses nothing below its former offset, though the store has that offset again', async t => {
    const { clock, fleet } = await restoreStore({
      beforeCalls: store => {
        store.append('servers', 's', undefined)
        Array.from({ length: 2 * LOST }, (_, count) => store.append('servers', 'other', `ready|${count}`))
      }
    })
    await clock.advanceBy(BOUND_MS + RECOVERY_GRACE_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('s') !== ''), [])
  })

  // Guards against requests to a server that has left and is listed again only because it is in the backup.
  it('adds a server that has left again only after its next heartbeat', async t => {
    const { clock, store, fleet } = await restoreStore({ lost: store => store.append('servers', 's', undefined) })
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('s') !== ''), [])
    store.append('servers', 's', 'ready|1')
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('s') !== 'ready'), [])
  })

  // Guards against an instance that skips reads because others, which never knew that the server had left, report no changes.
  it('learns that a server is alive again, though others do not announce it', async t => {
    const { clock, store, fleet } = await restoreStore({ lost: store => store.append('servers', 's', undefined) })
    await clock.advanceBy(BOUND_MS)
    // Enough instances that the next reader is one of them.
    const started = Array.from({ length: 30 }, (_, index) => `started-${index}`)
    started.forEach(name => {
      fleet.cutOff.add(name)
      fleet.add(name)
    })
    await clock.advanceBy(BOUND_MS)
    for (let heartbeat = 0; heartbeat < 8; heartbeat += 1) {
      store.append('servers', 's', `ready|${heartbeat}`)
      await clock.advanceBy(400)
    }
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('s') !== 'ready'), [])
  })

  // Guards against removing servers that started after the backup before they can write their entries again.
  it('leaves servers that are not in the backup time to write their entries again', async t => {
    const { clock, fleet } = await restoreStore({ lost: store => store.append('servers', 'new', 'ready') })
    const recoveredAt = clock.now()
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).replica.removalsDeferredUntil < recoveredAt + BOUND_MS), [])
  })

  // Guards against stale data in an instance that learns of the restore only from another, or while the store holds its call.
  it('is current again even where the instance cannot reach the store', async t => {
    const { clock, store, fleet } = await restoreStore()
    store.unreachableFrom.add('a')
    await clock.advanceBy(BOUND_MS)
    store.append('operators', 'config', NEW)
    await clock.advanceBy(BOUND_MS)
    t.is(fleet.get('a').values.get('config'), NEW)
    store.unreachableFrom.clear()
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.is(fleet.get('a').values.get('config'), NEWER)
  })

  // Guards against a return from the configuration in force to the older one of the backup.
  it('keeps the configuration in force until a newer one is written', async t => {
    const { clock, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('config') !== NEWEST_LOST), [])
  })

  // Guards against a newly started instance that uses the backup's configuration as the newest.
  for (const [how, isCut] of [['', false], [', though its first calls to others fail', true]] as const) {
    it(`gives an instance that starts meanwhile the configuration in force${how}`, async t => {
      const { clock, fleet } = await restoreStore()
      await clock.advanceBy(BOUND_MS / 2)
      if (isCut) {
        fleet.cutOff.add('late')
      }
      const started = fleet.add('late')
      await clock.advanceBy(BOUND_MS / 2)
      fleet.cutOff.clear()
      await clock.advanceBy(BOUND_MS / 2)
      t.is(started.values.get('config'), NEWEST_LOST)
    })
  }

  // Guards against waiting for an answer that the store held during the restore and never sends.
  it('is read again within the time limit when held calls get no answer', async t => {
    const { clock, store, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    const copy = store.copy()
    store.append('operators', 'config', NEW)
    await clock.advanceBy(1000)
    store.silence()
    store.restore(copy)
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('config') !== NEWER), [])
  })

  // Guards against missing the second of two restores, which comes before all instances have detected the first.
  it('follows a store that is restored twice in a row', async t => {
    const { clock, store, fleet } = await restoreStore()
    const copy = store.copy()
    store.append('operators', 'config', NEW)
    await clock.advanceBy(50)
    store.restore(copy)
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).values.get('config') !== NEWER), [])
  })
})
