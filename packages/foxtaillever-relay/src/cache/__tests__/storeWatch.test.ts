import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { StoreWatch } from '../storeWatch.js'

const store = { address: 's', hash: 1, failureDomain: 'd', cacheTokens: 1, linkBytesPerMs: 1 }
const refused = Failure.create(FailureCode.ConnectionRefused, Verdict.NotRun, 'refused')

/** Lets calls that are answered at once go on. */
async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('StoreWatch', () => {
  // A store crashes and comes back empty. One look may be lost on a bad link; two in a row say that the store is down.
  it('says that a store fell silent after two looks, and that it restarted', async t => {
    const clock = VirtualClock.create()
    const changes: StoreReport[] = []
    const asked: number[] = []
    let incarnation = 7
    let isUp = true
    const watch = StoreWatch.create({
      clock,
      calls: {
        look: async (_, fromEvent) => {
          asked.push(fromEvent)
          return isUp ? Right({ incarnation, nextEvent: 100 }) : Left(refused)
        }
      },
      stores: () => [store],
      onChanged: word => changes.push(word)
    })
    const pass = async (milliseconds: number): Promise<void> => {
      await clock.advanceBy(milliseconds)
      await settle()
    }
    watch.start()
    await settle()
    await pass(500)
    t.deepEqual(asked, [0, 100], 'events are not read twice')
    isUp = false
    await pass(500)
    t.is(changes.length, 1, 'one look that fails says nothing')
    await pass(150)
    t.deepEqual(changes[1], { store: 's', isSilent: true, incarnation: 7 })
    isUp = true
    incarnation = 8
    await pass(150)
    t.deepEqual(changes[2], { store: 's', isSilent: false, incarnation: 8 })
    t.deepEqual(watch.words(), changes.slice(2))
    watch.stop()
    await pass(5000)
    t.is(asked.length, 5)
  })
})
