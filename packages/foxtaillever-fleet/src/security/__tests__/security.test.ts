import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { KeyRing, Permission, type Key } from '../keyRing.js'
import { Admission, ReplayGuard } from '../replayGuard.js'
import { open, seal } from '../seal.js'

const first: Key = { id: 'k1', secret: 'first secret of sixteen', permissions: [Permission.Join, Permission.Publish] }
const second: Key = { id: 'k2', secret: 'second secret of sixteen', permissions: [Permission.Join] }
const payload = Buffer.from('payload')

describe('security between instances', () => {
  describe('seal', () => {
    it('opens only what was sealed for the same permission by a known key', t => {
      const ring = KeyRing.create([first])
      const sealed = seal(ring, Permission.Join, payload)
      t.deepEqual(open(ring, Permission.Join, sealed).extract(), payload)
      t.true(open(ring, Permission.Publish, sealed).isNothing())
      t.true(open(KeyRing.create([second]), Permission.Join, sealed).isNothing())
      t.true(open(KeyRing.create([{ ...second, id: 'k1' }]), Permission.Join, sealed).isNothing())
    })

    it('opens nothing with a changed bit or missing bytes, and never throws', t => {
      const ring = KeyRing.create([first])
      const sealed = seal(ring, Permission.Join, payload)
      fc.assert(fc.property(fc.nat(sealed.length * 8 - 1), bit => {
        const forged = Buffer.from(sealed)
        forged[bit >> 3]! ^= 1 << (bit & 7)
        return open(ring, Permission.Join, forged).isNothing()
      }), { seed: 3, numRuns: 200 })
      fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), bytes => open(ring, Permission.Join, bytes).isNothing()), { seed: 4 })
      t.pass()
    })
  })

  describe('rotation', () => {
    it('accepts both keys while both are configured, signs with the first, and ends with the new one', t => {
      // Operators rotate a key while the fleet runs. At no step may instances with
      // the old and the new settings refuse each other.
      const [old, updated] = [KeyRing.create([first]), KeyRing.create([first])]
      const acceptEachOther = (a: KeyRing, b: KeyRing): boolean =>
        open(b, Permission.Join, seal(a, Permission.Join, payload)).isJust() &&
        open(a, Permission.Join, seal(b, Permission.Join, payload)).isJust()
      const steps = [[first, second], [second, first], [second]]
      for (const keys of steps) {
        updated.replace(keys)
        t.true(acceptEachOther(old, updated))
        old.replace(keys)
        t.true(acceptEachOther(old, updated))
      }
      t.true(open(updated, Permission.Join, seal(KeyRing.create([first]), Permission.Join, payload)).isNothing())
    })

    it('refuses keys that are too short or share an id', t => {
      t.throws(() => KeyRing.create([{ ...first, secret: 'short' }]))
      t.throws(() => KeyRing.create([first, { ...second, id: 'k1' }]))
    })
  })

  it('allows each permission only to keys that have it', t => {
    const ring = KeyRing.create([first, second])
    t.true(ring.allows(Permission.Publish, first.secret))
    t.false(ring.allows(Permission.Publish, second.secret))
    t.false(ring.allows(Permission.Order, first.secret))
    t.false(ring.allows(Permission.Publish, ''))
  })

  describe('ReplayGuard', () => {
    const origin = { sender: 'one', incarnation: 5, sequence: 7, sentAt: 1000 }

    it('admits each message once', t => {
      const guard = ReplayGuard.create()
      t.is(guard.admit(origin, 1000), Admission.New)
      t.is(guard.admit(origin, 1001), Admission.Repeated)
      t.is(guard.admit({ ...origin, sequence: 6 }, 1001), Admission.Repeated)
      t.is(guard.admit({ ...origin, sequence: 8 }, 1001), Admission.New)
      t.is(guard.admit({ ...origin, incarnation: 4, sequence: 99 }, 1001), Admission.Superseded)
      t.is(guard.admit({ ...origin, incarnation: 6, sequence: 1 }, 1001), Admission.New)
    })

    it('refuses an old message even after its sender was removed', t => {
      const guard = ReplayGuard.create()
      guard.admit(origin, 1000)
      guard.expire(1_000_000)
      t.is(guard.admit(origin, 1_000_000), Admission.Stale)
      t.is(guard.admit({ ...origin, sentAt: NaN }, 1000), Admission.Stale)
    })
  })
})
