import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mayFetch, maySave, type StoreLink } from '../useCacheStore.js'

/** What the store's link moves, tokens a millisecond. */
const LINK_TOKENS_PER_MS = 140

/** What the engines read together besides their other work, tokens a millisecond. */
const ENGINES_TOKENS_PER_MS = 300

/** After its levels came a request's own part is read, and its first event made, milliseconds. */
const OWN_MS = 60

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

/**
 * Plays requests whose engines lack a level: a store's link and the engines, each a queue. Transfers are counted
 * until their requests are answered, since nobody sees the link itself.
 * @param times how many times the load, the link and the engines are there.
 */
function play (isFetched: (link: StoreLink) => boolean, times = 1): Outcome {
  const random = SeededRandom.create(3)
  const tokensPerMs = LINK_TOKENS_PER_MS * times
  let now = 0
  let linkFreeAt = 0
  let enginesFreeAt = 0
  let late = 0
  let fetched = 0
  let counted: number[] = []
  for (let request = 0; request < REQUESTS * times; request++) {
    const gap = now % PERIOD_MS < BURST_MS ? BURST_GAP_MS : USUAL_GAP_MS
    now += gap * 2 * random.next() / times
    counted = counted.filter(until => until > now)
    const tokensOnTheWay = counted.length * SHARED_TOKENS
    let doneAt: number
    if (isFetched({ tokensOnTheWay, tokensPerMs })) {
      fetched += 1
      doneAt = linkFreeAt = Math.max(now, linkFreeAt) + SHARED_TOKENS / tokensPerMs
      counted.push(doneAt + OWN_MS)
    } else {
      doneAt = enginesFreeAt = Math.max(now, enginesFreeAt) + SHARED_TOKENS / ENGINES_TOKENS_PER_MS / times
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
    const weighed = play(mayFetch)
    const figures = `late: ${always.late} with all fetched, ${weighed.late} with ${weighed.fetched} of ${REQUESTS} fetched`
    t.log(figures)
    t.true(always.late > REQUESTS / 10, figures)
    t.true(weighed.late < REQUESTS / 100, figures)
    t.true(weighed.fetched > REQUESTS * 0.6, figures)
  })

  // A fleet has ten times the load and links to match. With a limit in tokens that suits the small fleet, a tenth of
  // the link is used at most, and callers wait for engines that read again what the store has.
  it('uses a faster link as fully as a slow one', t => {
    const small = play(mayFetch)
    const large = play(mayFetch, 10)
    const inTokens = play(({ tokensOnTheWay }) => tokensOnTheWay <= 45_000, 10)
    const figures = `fetched: ${small.fetched} of ${REQUESTS}, ${large.fetched} of ten times as many, ${inTokens.fetched} with a limit in tokens`
    t.log(figures)
    t.true(large.fetched >= small.fetched * 10 * 0.95, figures)
    t.true(large.late < REQUESTS * 10 / 100, figures)
    t.true(inTokens.fetched < large.fetched * 0.95, figures)
  })

  // Saves take the same link. A fetch that waits for one makes a caller wait; a save can be made up for.
  it('saves only while hardly anything waits', t => {
    const after = (waitMs: number): StoreLink => ({ tokensOnTheWay: waitMs * LINK_TOKENS_PER_MS, tokensPerMs: LINK_TOKENS_PER_MS })
    t.true(maySave(after(0)))
    const isFetchedOnly = [140, 250, 310].filter(waitMs => mayFetch(after(waitMs)) && !maySave(after(waitMs)))
    t.deepEqual(isFetchedOnly, [250, 310])
    t.false(mayFetch(after(330)))
  })
})
