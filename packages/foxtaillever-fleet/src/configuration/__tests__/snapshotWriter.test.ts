import { createPreset, PresetName, RecordKind, SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { LogReader } from '../../log/logReader.js'
import { FakeLog } from '../__fixtures__/fakeLog.js'
import { ChangeKind } from '../change.js'
import { ConfigurationStore } from '../configurationStore.js'
import { SnapshotWriter } from '../snapshotWriter.js'

const RETENTION_MS = 600_000
const TICK_MS = 500

function createInstance (log: FakeLog, clock: VirtualClock, seed: number) {
  const store = ConfigurationStore.create()
  const snapshots = SnapshotWriter.create(log, store, clock, SeededRandom.create(seed), RETENTION_MS)
  const reader = LogReader.create(log, clock, [store.applyRecord, snapshots.handleRecord])
  const tick = (): void => {
    snapshots.tick()
    clock.at(clock.now() + TICK_MS, tick)
  }
  reader.start()
  tick()
  return { store, snapshots }
}

async function createLog (clock: VirtualClock): Promise<FakeLog> {
  const log = FakeLog.create(clock)
  const changes = [{ kind: ChangeKind.PutPreset, preset: createPreset(PresetName.Peaks, { queueLimit: 7 }) }]
  await log.append({ id: 'first', kind: RecordKind.Configuration, writtenAt: clock.now(), body: { base: 0, author: 'operator', changes } })
  return log
}

describe('SnapshotWriter', () => {
  it('keeps the configuration in the log over many retention periods with few duplicates', async t => {
    // Records expire. If no instance wrote a snapshot in time, a fleet that restarts
    // would find no configuration in the log and could serve no request.
    const clock = VirtualClock.create()
    const log = await createLog(clock)
    const instances = [1, 2, 3, 4, 5].map(seed => createInstance(log, clock, seed))
    for (let step = 0; step < 20; step += 1) {
      await clock.advanceBy(RETENTION_MS / 4)
      const kept = log.allRecords().find(record => record.appendedAt > clock.now() - RETENTION_MS)
      log.expireBelow(kept?.offset ?? Infinity)
    }
    const fresh = createInstance(log, clock, 9)
    await clock.advanceBy(500)
    t.is(fresh.store.current().digest, instances[0]!.store.current().digest)
    const written = instances.reduce((sum, { snapshots }) => sum + snapshots.writtenCount(), 0)
    // Five retention periods with at most three snapshots due in each.
    t.true(written >= 10 && written <= 20, `written ${written}`)
  })

  it('writes a due snapshot after an outage of the log', async t => {
    const clock = VirtualClock.create()
    const log = await createLog(clock)
    createInstance(log, clock, 1)
    await clock.advanceBy(1000)
    log.isDown = true
    await clock.advanceBy(RETENTION_MS / 2)
    t.is(log.allRecords().length, 1)
    log.isDown = false
    await clock.advanceBy(11_000)
    t.true(log.allRecords().some(record => record.kind === RecordKind.Snapshot))
  })
})
