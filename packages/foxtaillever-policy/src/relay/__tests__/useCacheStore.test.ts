import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mayFetch, maySave } from '../useCacheStore.js'

/** What the store's link moves, tokens a millisecond. */
const LINK_TOKENS_PER_MS = 140

/** What the engines read together besides their other work, tokens a millisecond. */
const ENGINES_TOKENS_PER_MS = 300

const SHARED_TOKENS = 3780
const REQUESTS = 4000

/** Mean and worst part of a second between requests that fetch; a burst in each ten seconds. */
const USUAL_GAP_MS = 40
const BURST_GAP_MS = 20
const PERIOD_MS = 10_000
const BURST_MS = 3_000

interface Outcome {
  /** Requests whose level came more than an objective of 400 ms late. */
  readonly late: number
  readonly fetched: number
}

/** Plays requests whose engines lack a level: a store's link and the engines, each a queue. */
function play (isFetched: (tokensOnTheWay: number) => boolean): Outcome {
  const random = SeededRandom.create(3)
  let now = 0
  let linkFreeAt = 0
  let enginesFreeAt = 0
  let late = 0
  let fetched = 0
  for (let request = 0; request < REQUESTS; request++) {
    const gap = now % PERIOD_MS < BURST_MS ? BURST_GAP_MS : USUAL_GAP_MS
    now += gap * 2 * random.next()
    const tokensOnTheWay = Math.max(0, linkFreeAt - now) * LINK_TOKENS_PER_MS
    let doneAt: number
    if (isFetched(tokensOnTheWay)) {
      fetched += 1
      doneAt = linkFreeAt = Math.max(now, linkFreeAt) + SHARED_TOKENS / LINK_TOKENS_PER_MS
    } else {
      doneAt = enginesFreeAt = Math.max(now, enginesFreeAt) + SHARED_TOKENS / ENGINES_TOKENS_PER_MS
    }
    late += doneAt - now > 400 ? 1 : 0
  }
  return { late, fetched }
}

describe('useCacheStore', () => {
  // In a burst engines fetch more from the store of cached levels than its one link moves. Every request then waits
  // there for up to two seconds, while the engines have time to read the levels themselves.
  it('reads levels again in a burst rather than wait for the link of the store', t => {
    const always = play(() => true)
    const weighed = play(tokensOnTheWay => mayFetch({ tokensOnTheWay }))
    const figures = `late: ${always.late} with all fetched, ${weighed.late} with ${weighed.fetched} of ${REQUESTS} fetched`
    t.log(figures)
    t.true(always.late > REQUESTS / 10, figures)
    t.true(weighed.late < REQUESTS / 100, figures)
    t.true(weighed.fetched > REQUESTS * 0.6, figures)
  })

  // Saves take the same link. A fetch that waits for one makes a caller wait; a save can be made up for.
  it('saves only while hardly anything waits', t => {
    t.true(maySave({ tokensOnTheWay: 0 }))
    const isFetchedOnly = [20_000, 35_000, 44_000].filter(tokensOnTheWay => mayFetch({ tokensOnTheWay }) && !maySave({ tokensOnTheWay }))
    t.deepEqual(isFetchedOnly, [35_000, 44_000])
  })
})
