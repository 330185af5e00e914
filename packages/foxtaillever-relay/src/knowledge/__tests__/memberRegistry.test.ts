import { Failure, FailureCode, SeededRandom, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { MemberRegistry } from '../memberRegistry.js'
import { positionAt } from '../storePosition.js'

const LONG_MS = 10_000

interface Rig {
  readonly clock: VirtualClock
  readonly registry: MemberRegistry
  readonly registered: Map<string, Buffer>
  readonly seen: { addresses: readonly string[] }
  era: number
  isStoreDown: boolean
}

function createRig (): Rig {
  const clock = VirtualClock.create()
  const registered = new Map([['other', Buffer.from('10.0.0.2:1')]])
  const seen = { addresses: [] as readonly string[] }
  const unavailable = Left(Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down'))
  const records = (): Array<{ key: string, value: Buffer, offset: number }> => [...registered].map(([key, value], index) => ({ key, value, offset: positionAt(rig.era, index) }))
  const rig: Rig = {
    clock,
    registered,
    seen,
    era: 0,
    isStoreDown: false,
    registry: MemberRegistry.create({
      clock,
      random: SeededRandom.create(1),
      log: {
        era: 0,
        newest: async () => rig.isStoreDown ? unavailable : Right({ records: records(), hasMore: false, end: positionAt(rig.era, registered.size) }),
        read: async () => unavailable,
        put: async (_, key, value) => {
          if (rig.isStoreDown) {
            return unavailable
          }
          registered.set(key, Buffer.from(value))
          return Right(undefined)
        }
      },
      topic: 'members',
      name: 'own',
      address: '10.0.0.1:1',
      onAddresses: addresses => { seen.addresses = addresses },
      isLeaving: () => false
    })
  }
  return rig
}

describe('MemberRegistry', () => {
  it('writes its address, reports those of the others, and retries while the store does not answer', async t => {
    const rig = createRig()
    rig.isStoreDown = true
    const registering = rig.registry.register()
    await rig.clock.advanceBy(LONG_MS)
    rig.isStoreDown = false
    await rig.clock.advanceBy(LONG_MS)
    await registering
    t.deepEqual(rig.seen.addresses, ['10.0.0.2:1', '10.0.0.1:1'])
  })

  // Guards against an instance that others cannot discover because a restored store has lost its address.
  it('writes the address again after the store was restored', async t => {
    const rig = createRig()
    await rig.registry.register()
    rig.registered.delete('own')
    const registering = rig.registry.registerAgain()
    await rig.clock.advanceBy(LONG_MS)
    await registering
    t.is(rig.registered.get('own')?.toString(), '10.0.0.1:1')
  })
})
