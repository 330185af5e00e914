import { Failure, FailureCode, SeededRandom, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { MemberBook } from '../memberBook.js'
import { positionAt } from '../storePosition.js'

const LONG_MS = 10_000

interface Rig {
  readonly clock: VirtualClock
  readonly book: MemberBook
  readonly entered: Map<string, Buffer>
  readonly seen: { lives: number, addresses: readonly string[] }
  era: number
  isDark: boolean
}

function createRig (): Rig {
  const clock = VirtualClock.create()
  const entered = new Map([['other', Buffer.from('10.0.0.2:1')]])
  const seen = { lives: 0, addresses: [] as readonly string[] }
  const dark = Left(Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down'))
  const records = (): Array<{ key: string, value: Buffer, offset: number }> => [...entered].map(([key, value], index) => ({ key, value, offset: positionAt(rig.era, index) }))
  const rig: Rig = {
    clock,
    entered,
    seen,
    era: 0,
    isDark: false,
    book: MemberBook.create({
      clock,
      random: SeededRandom.create(1),
      log: {
        era: 0,
        newest: async () => rig.isDark ? dark : Right({ records: records(), hasMore: false, end: positionAt(rig.era, entered.size) }),
        read: async () => dark,
        put: async (_, key, value) => {
          if (rig.isDark) {
            return dark
          }
          entered.set(key, Buffer.from(value))
          return Right(undefined)
        }
      },
      topic: 'members',
      name: 'own',
      address: '10.0.0.1:1',
      onFirstLife: () => { seen.lives += 1 },
      onAddresses: addresses => { seen.addresses = addresses },
      isLeaving: () => false
    })
  }
  return rig
}

describe('MemberBook', () => {
  it('enters the address, tells the others\', and tries again while the store does not answer', async t => {
    const rig = createRig()
    rig.isDark = true
    const entering = rig.book.enter()
    await rig.clock.advanceBy(LONG_MS)
    rig.isDark = false
    await rig.clock.advanceBy(LONG_MS)
    await entering
    t.deepEqual(rig.seen.addresses, ['10.0.0.2:1', '10.0.0.1:1'])
  })

  // Guards against an instance that nobody finds since a restored store has lost its address.
  it('enters the address again after the store was restored', async t => {
    const rig = createRig()
    await rig.book.enter()
    rig.entered.delete('own')
    const entering = rig.book.enterAgain()
    await rig.clock.advanceBy(LONG_MS)
    await entering
    t.is(rig.entered.get('own')?.toString(), '10.0.0.1:1')
  })

  // Guards against a restarted instance that takes a lost address for a first life.
  it('believes in a first life only where the store was never restored', async t => {
    const first = createRig()
    await first.book.enter()
    t.is(first.seen.lives, 1)
    const restored = createRig()
    restored.era = 1
    await restored.book.enter()
    t.is(restored.seen.lives, 0)
  })
})
