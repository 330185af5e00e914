import { describe, it } from 'foxtaillever-testing'
import { Holding, holdingOfBody, ProcessBudget, Reservation } from '../processBudget.js'

const BYTES_PER_MEGABYTE = 1_048_576
const LIMITS = { memoryBytes: 200 * BYTES_PER_MEGABYTE, heapBytes: 102 * BYTES_PER_MEGABYTE }

/** Reserves pieces until one does not fit; returns how many did. */
function fill (budget: ProcessBudget, holding: Holding, bytes: number): number {
  let count = 0
  while (budget.reserve(holding, bytes)) {
    count += 1
  }
  return count
}

describe('the budget of a process', () => {
  // Guards against small bodies that are refused because large ones have taken all room.
  it('keeps room for small bodies', t => {
    const budget = ProcessBudget.create(LIMITS)
    fill(budget, holdingOfBody(BYTES_PER_MEGABYTE), BYTES_PER_MEGABYTE)
    t.true(fill(budget, holdingOfBody(1000), 1000) > 1000)
  })

  it('keeps the heap and the memory outside it apart', t => {
    const budget = ProcessBudget.create(LIMITS)
    fill(budget, Holding.SmallBody, 1000)
    t.true(fill(budget, Holding.Request, 30_000) > 1000)
  })

  it('holds some requests and bodies however small the limits are', t => {
    const budget = ProcessBudget.create({ memoryBytes: BYTES_PER_MEGABYTE, heapBytes: BYTES_PER_MEGABYTE })
    t.true(fill(budget, Holding.Request, 30_000) > 100)
    t.true(budget.reserve(Holding.LargeBody, 2 * BYTES_PER_MEGABYTE))
  })

  // Guards against a body within the limits of callers that no instance ever takes, since it is larger than its share.
  it('holds a single body of any size, and no other beside it', t => {
    const budget = ProcessBudget.create(LIMITS)
    const [first, second] = [Reservation.create(budget, Holding.LargeBody), Reservation.create(budget, Holding.LargeBody)]
    t.true(first.resize(100 * BYTES_PER_MEGABYTE))
    t.true(first.resize(101 * BYTES_PER_MEGABYTE))
    t.false(second.resize(BYTES_PER_MEGABYTE))
    first.release()
    t.true(second.resize(BYTES_PER_MEGABYTE))
  })

  // Guards against bytes that arrive after the connection has closed, and are held for good.
  it('holds nothing for a reservation that has ended', t => {
    const budget = ProcessBudget.create(LIMITS)
    const reservation = Reservation.create(budget, Holding.SmallBody)
    t.true(reservation.resize(1000))
    reservation.end()
    t.true(reservation.resize(2000))
    t.is(budget.heldBytes(Holding.SmallBody), 0)
  })

  // Guards against reservations that are never returned, until nothing is admitted any more.
  it('has everything back after reservations grew, changed their kind and were released twice', t => {
    const budget = ProcessBudget.create(LIMITS)
    const reservation = Reservation.create(budget, Holding.SmallBody)
    t.true(reservation.resize(1000))
    t.true(reservation.resize(100_000, Holding.LargeBody))
    t.deepEqual([budget.heldBytes(Holding.SmallBody), budget.heldBytes(Holding.LargeBody)], [0, 100_000])
    t.true(budget.reserve(Holding.LargeBody, 1))
    t.false(reservation.resize(1000 * BYTES_PER_MEGABYTE))
    budget.release(Holding.LargeBody, 1)
    t.is(budget.heldBytes(Holding.LargeBody), 100_000)
    reservation.release()
    reservation.release()
    t.deepEqual(Object.values(Holding).map(holding => budget.heldBytes(holding)), Object.values(Holding).map(() => 0))
    t.is(budget.peakBytes(Holding.LargeBody), 100_001)
  })
})
