import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import type { KeyedLog } from '../keyedLog.js'
import { eraOf, positionAt } from '../storePosition.js'
import { TopicFollower } from '../topicFollower.js'

const INSTANCES = 380

/** Calls that the store takes in a second, of all instances; others are rejected. */
const READS_PER_S = 2000

const ANSWER_MS = 4

/** Entries of 670 servers come in two pages, operators' records in one. */
const PAGES = { servers: 2, operators: 1 }

/** A confirmed configuration has to be in force, milliseconds. */
const BOUND_MS = 2000

const rejected = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, '429')

describe('all instances of a large fleet', () => {
  // Guards against a herd whose rejected readings come too late for a configuration that is written meanwhile.
  it('read a restored store whole within the bound', async t => {
    const clock = VirtualClock.create()
    let era = 0
    let taken: number[] = []
    const isWithinRate = (): boolean => {
      taken = taken.filter(at => at > clock.now() - 1000)
      taken.push(clock.now())
      return taken.length <= READS_PER_S
    }
    const answered = async (): Promise<void> => await new Promise(resolve => { clock.at(clock.now() + ANSWER_MS, resolve) })
    const createLog = (pages: number): KeyedLog => ({
      era: 0,
      newest: async (_, after) => {
        await answered()
        const page = Number(after) + 1
        return isWithinRate() ? Right({ records: [{ key: String(page), value: Buffer.from('ready'), offset: positionAt(era, page) }], hasMore: page < pages, end: positionAt(era, pages + 1) }) : Left(rejected)
      },
      read: async (_, from) => {
        await answered()
        return isWithinRate() ? Right({ records: [], next: from, isGap: eraOf(from) !== era }) : Left(rejected)
      }
    })
    const knownAt = new Map<TopicFollower, number>()
    const followers = Array.from({ length: INSTANCES }).flatMap(() => Object.entries(PAGES).map(([topic, pages]) => {
      const follower: TopicFollower = TopicFollower.create({
        clock,
        log: createLog(pages),
        topic,
        waitMs: () => 0,
        dueAt: () => Infinity,
        notBefore: () => 0,
        isTold: () => false,
        onAnswered: () => {},
        onRecord: () => {},
        onListed: () => {},
        onWhole: (_, end) => { if (eraOf(end) === 1) { knownAt.set(follower, clock.now()) } },
        onReached: () => {},
        onLost: () => {},
        onRegained: () => {}
      })
      return follower
    }))
    followers.forEach(follower => follower.start())
    await clock.advanceBy(10_000)
    era = 1
    const restoredAt = clock.now()
    followers.forEach(follower => follower.enter(era))
    await clock.advanceBy(BOUND_MS)
    t.is(knownAt.size, followers.length)
    t.true(Math.max(...knownAt.values()) <= restoredAt + BOUND_MS)
    followers.forEach(follower => follower.stop())
  })
})
