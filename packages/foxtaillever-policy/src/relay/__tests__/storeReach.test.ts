import { describe, it } from 'foxtaillever-testing'
import { StoreReach, type StoreWord } from '../storeReach.js'

function word (isSilent: boolean, incarnation = 1): StoreWord[] {
  return [{ store: 's', isSilent, incarnation }]
}

describe('StoreReach', () => {
  // The store of cached parts crashes. Every request of a large prompt waits some hundred milliseconds for it before its
  // server starts to read, for as long as the store is down.
  it('leaves a store out once all who looked found it silent', t => {
    const reach = StoreReach.create()
    t.true(reach.answers('s', 0), 'nobody has looked yet')
    reach.hear('one', word(false), 0)
    reach.hear('other', word(false), 0)
    reach.hear('one', word(true), 1000)
    t.true(reach.answers('s', 1000))
    reach.hear('other', word(true), 1100)
    t.false(reach.answers('s', 1100))
    reach.hear('one', word(false), 3000)
    t.true(reach.answers('s', 3000))
  })

  // One of those that look is cut off from all stores. Were its word enough, the whole fleet would read again what the
  // stores have.
  it('does not believe one that is cut off against another', t => {
    const reach = StoreReach.create()
    for (let now = 0; now < 10_000; now += 1000) {
      reach.hear('one', word(true, 0), now)
      reach.hear('other', word(false), now + 500)
      t.true(reach.answers('s', now + 600))
    }
  })

  // All who looked are gone. A store must not be left out for ever on their last word.
  it('forgets old words', t => {
    const reach = StoreReach.create()
    reach.hear('one', word(true), 0)
    t.false(reach.answers('s', 3999))
    t.true(reach.answers('s', 4000))
  })

  // A store restarts empty, faster than anyone notices that it was down. Its levels count as saved for ten seconds, and
  // all that time callers wait for prompts to be read again.
  it('tells a restart once, also when words of two cross', t => {
    const reach = StoreReach.create()
    const told = [['one', 1], ['other', 0], ['other', 1], ['one', 2], ['other', 1], ['other', 2], ['one', 2]] as const
    t.deepEqual(told.map(([instance, incarnation], now) => reach.hear(instance, word(false, incarnation), now)), [false, false, false, true, false, false, false])
  })
})
