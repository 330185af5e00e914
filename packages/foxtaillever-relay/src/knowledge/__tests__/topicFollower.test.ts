/**
 * The store drops old records, turns an instance away for a while, or answers a
 * held call too soon. Each call is paid for, and calls beyond a limit are turned
 * away for all instances; but what was missed must be noticed.
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
  readonly wholeKeys: string[][]
  records: KeyedRecord[]
  answer: Answer
  isTold: boolean
}

const ANSWER_MS = 4
const unanswered = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down')

function createRig (dueEveryMs: number): Rig {
  const clock = VirtualClock.create()
  const calls: string[] = []
  const wholeKeys: string[][] = []
  const settled = async (): Promise<void> => await new Promise(resolve => { clock.at(clock.now() + ANSWER_MS, resolve) })
  const log: KeyedLog = {
    era: 0,
    newest: async () => {
      calls.push('newest')
      await settled()
      return rig.answer === Answer.Failure ? Left(unanswered) : Right({ records: rig.records, hasMore: false, end: 10 })
    },
    read: async (_, from) => {
      calls.push('read')
      await settled()
      const isGap = rig.answer === Answer.Gap
      rig.answer = isGap ? Answer.Page : rig.answer
      return rig.answer === Answer.Failure ? Left(unanswered) : Right({ records: [], next: from, isGap })
    }
  }
  const rig: Rig = {
    clock,
    calls,
    wholeKeys,
    records: [],
    answer: Answer.Page,
    isTold: false,
    follower: TopicFollower.create({
      clock,
      random: SeededRandom.create(3),
      log,
      topic: 'servers',
      waitMs: () => 0,
      dueAt: () => rig.follower.triedAt + dueEveryMs,
      notBefore: () => 0,
      isTold: () => rig.isTold,
      onAnswered: () => {},
      onRecord: () => {},
      onListed: () => {},
      onWhole: keys => wholeKeys.push([...keys]),
      onReached: () => {},
      onLost: () => {},
      onRegained: () => {}
    })
  }
  rig.follower.start()
  return rig
}

describe('TopicFollower', () => {
  it('reads everything again when records that it has not read were dropped', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.records = [{ key: 's', value: Buffer.from('ready'), offset: 12 }]
    rig.answer = Answer.Gap
    await rig.clock.advanceBy(800)
    t.deepEqual(rig.wholeKeys, [[], ['s']])
  })

  it('asks a store that does not answer less and less, and least while others tell', async t => {
    const rig = createRig(700)
    await rig.clock.advanceBy(100)
    rig.answer = Answer.Failure
    rig.calls.length = 0
    await rig.clock.advanceBy(12_000)
    const alone = rig.calls.length
    rig.isTold = true
    rig.calls.length = 0
    await rig.clock.advanceBy(12_000)
    t.true(alone <= 13, `${alone} calls alone`)
    t.true(rig.calls.length <= 7, `${rig.calls.length} calls while told`)
    rig.answer = Answer.Page
    await rig.clock.advanceBy(2100)
    t.true(rig.follower.isAnswered)
  })

  it('does not call without a pause when the store does not hold calls', async t => {
    const rig = createRig(0)
    await rig.clock.advanceBy(1000)
    t.true(rig.calls.length <= 51, `${rig.calls.length} calls`)
  })

  it('reads at once when it is told that there is something new', async t => {
    const rig = createRig(10_000)
    await rig.clock.advanceBy(100)
    rig.calls.length = 0
    rig.follower.readNow()
    await rig.clock.advanceBy(50)
    t.deepEqual(rig.calls, ['read'])
  })
})
