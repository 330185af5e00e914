/** The stand-ins of the platform and the plain service, run in virtual time. */
import { ListedKind, ListedState, RecordKind, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { PlainModel } from '../plain/plainModel.js'
import { InstanceListModel } from '../platform/instanceListModel.js'
import { LogModel } from '../platform/logModel.js'

const entry = { id: 'x', kind: RecordKind.Configuration, writtenAt: 0, body: {} }

describe('stand-in log', () => {
  // The platform takes an append and the answer is lost. A writer that tries again blindly has it twice.
  it('keeps a record whose answer was lost', t => {
    const log = LogModel.create({ retentionMs: 1000, appendsPerSecond: 10 }, VirtualClock.create())
    log.setFaults({ lostAnswers: 1 })
    t.is(log.append(entry).swap().map(failure => failure.verdict).extract(), Verdict.MayHaveRun)
    t.is(log.read(1).map(page => page.records.length).extract(), 1)
  })

  it('refuses appends above its rate and forgets old records', async t => {
    const clock = VirtualClock.create()
    const log = LogModel.create({ retentionMs: 1000, appendsPerSecond: 2 }, clock)
    t.deepEqual([1, 2, 3].map(() => log.append(entry).isRight()), [true, true, false])
    await clock.advanceBy(1001)
    t.is(log.read(1).map(page => page.first).extract(), 3)
  })
})

describe('stand-in instance list', () => {
  const instance = { name: 'i', kind: ListedKind.BackendServer, address: '127.0.0.1:1', failureDomain: 'd', state: ListedState.Live }

  it('shows each change after the lag, in order', async t => {
    const clock = VirtualClock.create()
    const list = InstanceListModel.create(1000, clock)
    list.setInstance(instance)
    t.deepEqual(list.list(), [])
    await clock.advanceBy(1000)
    list.setInstance({ ...instance, state: ListedState.Leaving })
    t.is(list.list()[0]?.state, ListedState.Live)
    await clock.advanceBy(1000)
    t.is(list.list()[0]?.state, ListedState.Leaving)
  })

  it('says nothing during an outage', t => {
    const list = InstanceListModel.create(0, VirtualClock.create())
    list.setFaults({ outage: true })
    t.true(list.read().isLeft())
  })
})

describe('stand-in plain service', () => {
  // An export runs and its answer is lost. A router that repeats it bills the client twice.
  it('counts an export whose answer was lost, and not one that failed before', t => {
    const plain = PlainModel.create()
    plain.setFaults({ failures: 1, lostAnswers: 1 })
    const verdicts = [plain.export('k'), plain.export('k')].map(result => result.swap().map(failure => failure.verdict).extract())
    t.deepEqual(verdicts, [Verdict.NotRun, Verdict.MayHaveRun])
    t.is(plain.exports.get('k'), 1)
  })
})
