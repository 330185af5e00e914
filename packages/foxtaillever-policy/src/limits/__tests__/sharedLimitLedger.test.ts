import { describe, it } from 'foxtaillever-testing'
import { SharedLimitLedger, LimitOutcome, LimitRole, type LimitClaim } from '../sharedLimitLedger.js'

const START = 1_000_000
const claim: LimitClaim = { key: 'acme', limit: { perSecond: 100_000, burst: 100_000, revision: 1 }, cost: 5000, isTaken: false }

/** Tokens granted at one instant until the first refusal. */
function drain (ledger: SharedLimitLedger, now: number): number {
  let granted = 0
  while (ledger.decide(claim, LimitRole.Owner, START, 70, now).outcome === LimitOutcome.Granted) {
    granted += claim.cost
  }
  return granted
}

describe('decisions on a quota', () => {
  // An instance that has just joined assumes that it is the owner, and the actual owner holds back for it. Afterwards the
  // owner's bucket must be as empty as before: filled from the start of its process, it would grant a second burst.
  it('continue with the remaining tokens when an owner has held back for another', t => {
    const ledger = SharedLimitLedger.create({ overage: 0.1, slack: 72_000, windowMs: 8000 })
    const now = START + 60_000
    const first = drain(ledger, now)
    t.true(first >= 50_000, String(first))
    ledger.promiseToHoldBack(claim.key, now)
    ledger.decide(claim, LimitRole.Owner, START, 70, now + 100)
    const second = drain(ledger, now + 750)
    // Half of what the quota and its tolerance allow in that time, and one request.
    t.true(second <= 120_000 * 0.75 / 2 + claim.cost, String(second))
  })

  // An instance that learns of a change later than others still queries with the former limit.
  it('use the newest limit of any query', t => {
    const ledger = SharedLimitLedger.create({ overage: 0.1, slack: 72_000, windowMs: 8000 })
    const lowered = { ...claim, limit: { perSecond: 1000, burst: 1000, revision: 2 } }
    ledger.decide(lowered, LimitRole.Owner, START, 70, START + 60_000)
    drain(ledger, START + 60_000)
    t.true(drain(ledger, START + 61_000) <= 5000)
  })
})
