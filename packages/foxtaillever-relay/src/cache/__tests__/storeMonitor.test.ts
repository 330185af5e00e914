import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { StoreMonitor } from '../storeMonitor.js'

const store = { address: 's', hash: 1, failureDomain: 'd', cacheTokens: 1, linkBytesPerMs: 1 }
const refused = Failure.create(FailureCode.ConnectionRefused, Verdict.NotRun, 'refused')

/** Waits until calls that are answered immediately have been processed. */
async function processReplies (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('StoreMonitor', () => {
  // A store crashes and restarts empty. One poll may be lost on a bad link; two failures in a row mean that the store is down.
  it('reports that a store became silent after two failed polls, and that it restarted', async t => {
    const clock = VirtualClock.create()
    const changes: StoreReport[] = []
    const polled: number[] = []
    let incarnation = 7
    let isUp = true
    const monitor = StoreMonitor.create({
      clock,
      calls: {
        poll: async (_, fromEvent) => {
          polled.push(fromEvent)
          return isUp ? Right({ incarnation, nextEvent: 100 }) : Left(refused)
        }
      },
      stores: () => [store],
      onChanged: report => changes.push(report),
      onError: () => {}
    })
    const pass = async (milliseconds: number): Promise<void> => {
      await clock.advanceBy(milliseconds)
      await processReplies()
    }
    monitor.start()
    await processReplies()
    await pass(500)
    t.deepEqual(polled, [0, 100], 'events are not read twice')
    isUp = false
    await pass(500)
    t.is(changes.length, 1, 'one failed poll changes nothing')
    await pass(150)
    t.deepEqual(changes[1], { store: 's', isSilent: true, incarnation: 7 })
    isUp = true
    incarnation = 8
    await pass(150)
    t.deepEqual(changes[2], { store: 's', isSilent: false, incarnation: 8 })
    t.deepEqual(monitor.reports(), changes.slice(2))
    monitor.stop()
    await pass(5000)
    t.is(polled.length, 5)
  })
})
