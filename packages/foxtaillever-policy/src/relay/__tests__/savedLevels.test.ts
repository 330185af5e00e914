import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { SavedLevels } from '../savedLevels.js'

/** A cache of named entries, measured in tokens, that evicts the least recently used. */
class TokenCache {
  private readonly kept = new Map<string, number>()
  private sum = 0

  constructor (private readonly room: number) {}

  use (name: string): boolean {
    const tokens = this.kept.get(name)
    if (tokens === undefined) {
      return false
    }
    this.kept.delete(name)
    this.kept.set(name, tokens)
    return true
  }

  add (name: string, tokens: number): void {
    if (this.use(name)) {
      return
    }
    this.kept.set(name, tokens)
    this.sum += tokens
    for (const [oldest, size] of this.kept) {
      if (this.sum <= this.room) {
        return
      }
      this.kept.delete(oldest)
      this.sum -= size
    }
  }
}

const INSTANCES = 9
const ENGINES = 6
const SUBJECTS = 146
const REQUESTS_PER_SECOND = 47
const SECONDS = 40
const SHARED_TOKENS = 3780
const OWN_TOKENS = 2890

interface Outcome {
  readonly requests: number
  readonly saves: number
  /** Requests whose shared level was read though some engine had read it before. */
  readonly readAgain: number
}

/** Simulates a peak: the engines keep what they read for about two seconds, the store longer. */
function simulate (isToSave: (instance: number, subject: number, now: number) => boolean, atSecond: (now: number) => void): Outcome {
  const random = SeededRandom.create(7)
  const engines = Array.from({ length: ENGINES }, () => new TokenCache(90_000))
  const store = new TokenCache(862_112)
  const everRead = new Set<number>()
  let saves = 0
  let readAgain = 0
  const requests = REQUESTS_PER_SECOND * SECONDS
  for (let request = 0; request < requests; request++) {
    const now = request * 1000 / REQUESTS_PER_SECOND
    if (request % REQUESTS_PER_SECOND === 0) {
      atSecond(now)
    }
    const subject = random.below(SUBJECTS)
    const engine = engines[subject % ENGINES] as TokenCache
    const level = `subject ${subject}`
    const isFound = engine.use(level) || store.use(level)
    readAgain += !isFound && everRead.has(subject) ? 1 : 0
    everRead.add(subject)
    engine.add(level, SHARED_TOKENS)
    engine.add(`own ${request}`, OWN_TOKENS)
    if (isToSave(random.below(INSTANCES), subject, now)) {
      saves += 1
      store.add(level, SHARED_TOKENS)
      store.add(`own ${request}`, OWN_TOKENS)
    }
  }
  return { requests, saves, readAgain }
}

describe('SavedLevels', () => {
  // At a peak every engine evicts a prompt's shared level within seconds and fetches it from the store of cached levels
  // again. When each request also saves its own part, which is never requested again, the store evicts the shared levels
  // too, and its link has no capacity for fetches. Users wait for prompts to be read that were read before.
  it('keeps the store for shared levels at a peak', t => {
    const everything = simulate(() => true, () => {})
    const instances = Array.from({ length: INSTANCES }, () => SavedLevels.create())
    const announced = simulate(
      (index, subject, now) => {
        const instance = instances[index]
        const isToSave = instance?.claimSave(subject, now) === true
        if (isToSave) {
          instance.confirmSave(subject, now)
        }
        return isToSave
      },
      now => {
        const announcements = instances.map(instance => instance.nextAnnouncement())
        instances.forEach((instance, index) => announcements.forEach((levels, from) => { if (from !== index) instance.recordAnnounced(levels, now) }))
      })
    const figures = `read again: ${everything.readAgain} with all saved, ${announced.readAgain} with ${announced.saves} of ${announced.requests} saved`
    t.true(announced.readAgain < everything.readAgain / 2, figures)
    t.true(announced.saves < announced.requests / 2, figures)
    t.log(figures)
  })

  // The store restarts empty without being noticed. If a level were saved only once, every later request of it would
  // wait for the whole prompt to be read.
  it('has a level saved again after a while', t => {
    const levels = SavedLevels.create()
    t.true(levels.claimSave(1, 0))
    t.false(levels.claimSave(1, 9_999))
    t.true(levels.claimSave(1, 10_000))
  })

  // An instance cannot see the requests of the others. Without their announcements it would save the same levels.
  it('does not save levels that other instances have saved', t => {
    const [one, other] = [SavedLevels.create(), SavedLevels.create()]
    one.claimSave(1, 0)
    one.confirmSave(1, 90)
    other.recordAnnounced(one.nextAnnouncement(), 500)
    t.false(other.claimSave(1, 600))
    t.deepEqual(other.nextAnnouncement(), [], 'only own saves are announced')
  })

  // Right after a change of weights many requests are refused, including those that claimed the first save of a level.
  // If the level counted as saved, every other engine would have to read it again.
  it('has another request save the level that a refused one was to save', t => {
    const levels = SavedLevels.create()
    levels.claimSave(1, 0)
    t.deepEqual(levels.nextAnnouncement(), [], 'only levels that were read are announced')
    levels.releaseSave(1)
    t.true(levels.claimSave(1, 2))
    levels.confirmSave(1, 90)
    levels.releaseSave(1)
    t.false(levels.claimSave(1, 100), 'an answer that breaks off later does not undo the save')
  })

  // Without a bound, many distinct prompts would use up the instance's memory.
  it('forgets levels that were saved long ago', t => {
    const levels = SavedLevels.create()
    for (let level = 0; level < 1000; level++) {
      levels.confirmSave(level, level)
    }
    t.is(levels.nextAnnouncement().length, 64, 'a message fits into one datagram')
    const messages = Array.from({ length: 200 }, () => levels.nextAnnouncement())
    t.deepEqual(messages[199], [], 'nothing is announced for ever')
    t.is(new Set(messages.flat()).size, 1000, 'everything is announced at least once')
    levels.confirmSave(5000, 100_000)
    t.deepEqual(levels.nextAnnouncement(), [5000])
    t.true(levels.claimSave(1, 100_000))
  })
})
