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
  records: KeyedRecord[]
  answer: Answer
  hasPeerUpdates: boolean
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
      return rig.answer === Answer.Failure ? Left(unanswered) : Right({ records: [], next: from, isGap })
    }
  }
  const rig: Rig = {
    clock,
    calls,
    keysOfCompleteReads,
    records: [],
    answer: Answer.Page,
    hasPeerUpdates: false,
    follower: TopicFollower.create({
      clock,
      random: SeededRandom.create(3),
      log,
      topic: 'servers',
      waitMs: () => 0,
      dueAt: () => rig.follower.lastCallAt + dueEveryMs,
      notBefore: () => 0,
      hasPeerUpdates: () => rig.hasPeerUpdates,
      onAnswered: () => {},
      onRecord: () => {},
      onListedRecord: () => {},
      onCompleteRead: keys => keysOfCompleteReads.push([...keys]),
      onAdvanced: () => {},
      onUnreachable: () => {},
      onRecovered: () => {},
      onError: () => {}
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
})
