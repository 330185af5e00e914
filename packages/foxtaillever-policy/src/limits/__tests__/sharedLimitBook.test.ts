import { describe, it } from 'foxtaillever-testing'
import { SharedLimitBook, LimitOutcome, LimitRole, type LimitClaim } from '../sharedLimitBook.js'

const START = 1_000_000
const claim: LimitClaim = { key: 'acme', limit: { perSecond: 100_000, burst: 100_000, revision: 1 }, cost: 5000, isTaken: false }

/** Tokens granted at one instant until the first refusal. */
function drain (book: SharedLimitBook, now: number): number {
  let granted = 0
  while (book.decide(claim, LimitRole.Owner, START, 70, now).outcome === LimitOutcome.Granted) {
    granted += claim.cost
  }
  return granted
}

describe('decisions on a quota', () => {
  // An instance that has just joined takes itself for the owner, and the one before it holds back for it. When that is
  // over, its bucket must be as empty as it was: filled from when its process started, it would grant a second burst.
  it('an owner that held back for another goes on with what it had left', t => {
    const book = SharedLimitBook.create({ overage: 0.1, slack: 72_000, windowMs: 8000 })
    const now = START + 60_000
    const first = drain(book, now)
    t.true(first >= 50_000, String(first))
    book.promise(claim.key, now)
    book.decide(claim, LimitRole.Owner, START, 70, now + 100)
    const second = drain(book, now + 750)
    // Half of what the quota and its tolerance give in that time, and one request.
    t.true(second <= 120_000 * 0.75 / 2 + claim.cost, String(second))
  })

  // Told of a change later than others, an instance still asks by the limit of before.
  it('go by the newest limit that anybody has named', t => {
    const book = SharedLimitBook.create({ overage: 0.1, slack: 72_000, windowMs: 8000 })
    const lowered = { ...claim, limit: { perSecond: 1000, burst: 1000, revision: 2 } }
    book.decide(lowered, LimitRole.Owner, START, 70, START + 60_000)
    drain(book, START + 60_000)
    t.true(drain(book, START + 61_000) <= 5000)
  })
})
