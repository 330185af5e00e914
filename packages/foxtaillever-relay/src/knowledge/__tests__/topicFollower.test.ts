/**
 * The store may delete old records, be unreachable for a while, or answer a held call
 * too soon. Each call costs money, and calls beyond the store's rate limit are
 * rejected for all instances, but missed records must still be detected.
 */
import { Failure, FailureCode, SeededRandom, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import type { KeyedLog, KeyedRecord } from '../keyedLog.js'
import { TopicFollower } from '../topicFollower.js'

enum Answer {
  Page,
  Gap,
  Failure
}

interface Rig {
  readonly clock: VirtualClock
  readonly follower: TopicFollower
  readonly calls: string[]
  readonly keysOfCompleteReads: string[][]
  readonly applied: string[]
  readonly errors: unknown[]
  records: KeyedRecord[]
  answer: Answer
  hasPeerUpdates: boolean
  /** Called before a record is applied; it may throw. */
  beforeRecord: (record: KeyedRecord) => void
  /** Called before the next read is planned; it may throw. */
  beforePlan: () => void
}

const ANSWER_MS = 4
const unanswered = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down')

function createRig (dueEveryMs: number): Rig {
  const clock = VirtualClock.create()
  const calls: string[] = []
  const keysOfCompleteReads: string[][] = []
  const waitForAnswer = async (): Promise<void> => await new Promise(resolve => { clock.at(clock.now() + ANSWER_MS, resolve) })
  const log: KeyedLog = {
    era: 0,
    newest: async () => {
      calls.push('newest')
      await waitForAnswer()
      return rig.answer === Answer.Failure ? Left(unanswered) : Right({ records: rig.records, hasMore: false, end: 10 })
    },
    read: async (_, from) => {
      calls.push('read')
      await waitForAnswer()
      const isGap = rig.answer === Answer.Gap
      rig.answer = isGap ? Answer.Page : rig.answer
      const appended = rig.records.filter(({ offset }) => offset >= from)
      return rig.answer === Answer.Failure ? Left(unanswered) : Right({ records: isGap ? [] : appended, next: Math.max(from, ...appended.map(({ offset }) => offset + 1)), isGap })
    }
  }
  const rig: Rig = {
    clock,
    calls,
    keysOfCompleteReads,
    applied: [],
    errors: [],
    beforeRecord: () => {},
    beforePlan: () => {},
    records: [],
    answer: Answer.Page,
    hasPeerUpdates: false,
    follower: TopicFollower.create({
      clock,
      random: SeededRandom.create(3),
      log,
      topic: 'servers',
      waitMs: () => 0,
      dueAt: () => {
        rig.beforePlan()
        return rig.follower.lastCallAt + dueEveryMs
      },
      notBefore: () => 0,
      hasPeerUpdates: () => rig.hasPeerUpdates,
      onAnswered: () => {},
      onRecord: record => {
        rig.beforeRecord(record)
        rig.applied.push(record.key)
      },
      onListedRecord: () => {},
      onCompleteRead: keys => keysOfCompleteReads.push([...keys]),
      onAdvanced: () => {},
      onUnreachable: () => {},
      onRecovered: () => {},
      onError: error => rig.errors.push(error)
    })
  }
  rig.follower.start()
  return rig
}

describe('TopicFollower', () => {
  it('reads everything again when records that it has not read were deleted', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.records = [{ key: 's', value: Buffer.from('ready'), offset: 12 }]
    rig.answer = Answer.Gap
    await rig.clock.advanceBy(800)
    t.deepEqual(rig.keysOfCompleteReads, [[], ['s']])
  })

  it('calls a store that does not answer less and less often, and least often while others announce its contents', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.answer = Answer.Failure
    rig.calls.length = 0
    await rig.clock.advanceBy(12_000)
    const alone = rig.calls.length
    rig.hasPeerUpdates = true
    rig.calls.length = 0
    await rig.clock.advanceBy(12_000)
    t.true(alone <= 13, `${alone} calls alone`)
    t.true(rig.calls.length <= 7, `${rig.calls.length} calls with updates of peers`)
    rig.answer = Answer.Page
    await rig.clock.advanceBy(2100)
    t.true(rig.follower.isAnswered)
  })

  it('does not call without a pause when the store does not hold calls', async t => {
    const rig = createRig(0)
    await rig.clock.advanceBy(1000)
    t.true(rig.calls.length <= 51, `${rig.calls.length} calls`)
  })

  it('reads at once on request', async t => {
    const rig = createRig(10_000)
    await rig.clock.advanceBy(100)
    rig.calls.length = 0
    rig.follower.readNow()
    await rig.clock.advanceBy(50)
    t.deepEqual(rig.calls, ['read'])
  })

  // Guards against an instance that stops following a topic after an unexpected error, and keeps what it knew for good.
  it('goes on reading after an unexpected error, with pauses', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.beforeRecord = ({ key }) => {
      if (key === 'odd') {
        throw new Error('odd')
      }
    }
    rig.records = [{ key: 'odd', value: Buffer.from('odd'), offset: 10 }]
    await rig.clock.advanceBy(10_000)
    t.true(rig.errors.length >= 5 && rig.errors.length <= 20, `${rig.errors.length} errors`)
    t.false(rig.follower.isAnswered)
    rig.beforeRecord = () => {}
    rig.records = [...rig.records, { key: 'sound', value: Buffer.from('ready'), offset: 11 }]
    await rig.clock.advanceBy(2000)
    t.deepEqual(rig.applied, ['odd', 'sound'])
    t.true(rig.follower.isAnswered)
  })

  it('goes on after an error between two reads', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.beforePlan = () => { throw new Error('no plan') }
    await rig.clock.advanceBy(5000)
    t.true(rig.errors.length > 0 && rig.errors.length <= 20, `${rig.errors.length} errors`)
    rig.beforePlan = () => {}
    rig.records = [{ key: 'sound', value: Buffer.from('ready'), offset: 10 }]
    await rig.clock.advanceBy(2000)
    t.deepEqual(rig.applied, ['sound'])
  })
})
