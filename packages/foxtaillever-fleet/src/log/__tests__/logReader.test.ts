import { RecordKind } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeLog } from '../../configuration/__fixtures__/fakeLog.js'
import { LogReader } from '../logReader.js'

async function appendRecords (log: FakeLog, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await log.append({ id: `${index}`, kind: RecordKind.Claims, writtenAt: 0, body: {} })
  }
}

describe('LogReader', () => {
  it('passes on each record once and in order, over an outage', async t => {
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const offsets: number[] = []
    const reader = LogReader.create(log, clock, [record => offsets.push(record.offset)])
    await appendRecords(log, 2)
    reader.start()
    await clock.advanceBy(100)
    log.isDown = true
    await clock.advanceBy(5000)
    log.isDown = false
    await appendRecords(log, 2)
    await clock.advanceBy(2500)
    t.deepEqual(offsets, [1, 2, 3, 4])
    t.true(reader.isCaughtUp())
  })

  // Guards against one record that ends the process, or the reading of the log, at every instance that reads it.
  it('passes on the records behind one that a handler cannot apply, and reports the error', async t => {
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const offsets: number[] = []
    const errors: unknown[] = []
    const failing = (): void => { throw new TypeError('odd') }
    const reader = LogReader.create(log, clock, [({ offset }) => { offset === 2 && failing() }, ({ offset }) => offsets.push(offset)], () => {}, error => errors.push(error))
    await appendRecords(log, 3)
    reader.start()
    await clock.advanceBy(100)
    t.deepEqual(offsets, [1, 2, 3])
    t.is(errors.length, 1)
  })

  it('reports records that expired unread, also when none is left', async t => {
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const gaps: number[] = []
    await appendRecords(log, 3)
    log.expireBelow(4)
    const reader = LogReader.create(log, clock, [], first => gaps.push(first))
    reader.start()
    await clock.advanceBy(3000)
    t.deepEqual(gaps, [4])
    t.true(reader.isCaughtUp())
  })
})
