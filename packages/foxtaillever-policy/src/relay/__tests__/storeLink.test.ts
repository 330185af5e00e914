import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mayFetch, maySave, type StoreLink } from '../storeLink.js'

/** Speed of the store's link, tokens a millisecond. */
const LINK_TOKENS_PER_MS = 140

/** Tokens that the engines read together beside their other work, a millisecond. */
const ENGINES_TOKENS_PER_MS = 300

/** Time to read a request's own part and generate its first event after its level is available, milliseconds. */
const OWN_MS = 60

const SHARED_TOKENS = 3780
const REQUESTS = 4000

/** Mean time between requests that lack a level, milliseconds, usually and in a burst; one burst in each ten seconds. */
const USUAL_GAP_MS = 40
const BURST_GAP_MS = 20
const PERIOD_MS = 10_000
const BURST_MS = 3_000

interface Outcome {
  /** Requests whose level was available after more than an objective of 400 ms. */
  readonly late: number
  readonly fetched: number
}

/**
 * Simulates requests whose engines lack a level: a store's link and the engines, each a queue. Transfers count until
 * their requests are answered, since the link itself cannot be observed.
 * @param times factor of the load, the link's speed and the engines.
 */
function simulate (isFetched: (link: StoreLink) => boolean, times = 1): Outcome {
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
    const tokensInTransit = counted.length * SHARED_TOKENS
    let doneAt: number
    if (isFetched({ tokensInTransit, tokensPerMs })) {
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

describe('the link of a cache store', () => {
  // In a burst engines fetch more from the store of cached levels than its one link can transfer. Every request then
  // waits for up to two seconds, while the engines have time to read the levels themselves.
  it('is not used in a burst when reading levels again is faster', t => {
    const always = simulate(() => true)
    const weighed = simulate(mayFetch)
    const figures = `late: ${always.late} with all fetched, ${weighed.late} with ${weighed.fetched} of ${REQUESTS} fetched`
    t.log(figures)
    t.true(always.late > REQUESTS / 10, figures)
    t.true(weighed.late < REQUESTS / 100, figures)
    t.true(weighed.fetched > REQUESTS * 0.6, figures)
  })

  // A fleet has ten times the load and a link ten times as fast. With a limit in tokens that suits the small fleet, at
  // most a tenth of the link is used, and callers wait for engines that read levels again that the store has.
  it('is used as fully when it is fast as when it is slow', t => {
    const small = simulate(mayFetch)
    const large = simulate(mayFetch, 10)
    const inTokens = simulate(({ tokensInTransit }) => tokensInTransit <= 45_000, 10)
    const figures = `fetched: ${small.fetched} of ${REQUESTS}, ${large.fetched} of ten times as many, ${inTokens.fetched} with a limit in tokens`
    t.log(figures)
    t.true(large.fetched >= small.fetched * 10 * 0.95, figures)
    t.true(large.late < REQUESTS * 10 / 100, figures)
    t.true(inTokens.fetched < large.fetched * 0.95, figures)
  })

  // Saves use the same link. A fetch that waits for a save delays a caller, but a later request can save the level instead.
  it('is used for saves only while hardly anything waits', t => {
    const after = (waitMs: number): StoreLink => ({ tokensInTransit: waitMs * LINK_TOKENS_PER_MS, tokensPerMs: LINK_TOKENS_PER_MS })
    t.true(maySave(after(0)))
    const isFetchedOnly = [140, 250, 310].filter(waitMs => mayFetch(after(waitMs)) && !maySave(after(waitMs)))
    t.deepEqual(isFetchedOnly, [250, 310])
    t.false(mayFetch(after(330)))
  })
})
