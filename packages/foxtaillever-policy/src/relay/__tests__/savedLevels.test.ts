import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { SavedLevels } from '../savedLevels.js'

/** Tokens kept under names, the least recently used going first. */
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

  put (name: string, tokens: number): void {
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

/** Plays a peak: the engines keep what they read for two seconds or so, the store more. */
function play (isToSave: (instance: number, subject: number, now: number) => boolean, atSecond: (now: number) => void): Outcome {
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
    engine.put(level, SHARED_TOKENS)
    engine.put(`own ${request}`, OWN_TOKENS)
    if (isToSave(random.below(INSTANCES), subject, now)) {
      saves += 1
      store.put(level, SHARED_TOKENS)
      store.put(`own ${request}`, OWN_TOKENS)
    }
  }
  return { requests, saves, readAgain }
}

describe('SavedLevels', () => {
  // At a peak every engine drops a prompt's shared part within seconds, and the store of cached parts is to bring it
  // back. When each request also saves its own part there, which nobody asks for again, the store drops the shared
  // ones as well and its link has no room for fetches. Users wait for prompts to be read that were read before.
  it('keeps the store for shared levels at a peak', t => {
    const everything = play(() => true, () => {})
    const instances = Array.from({ length: INSTANCES }, () => SavedLevels.create())
    const told = play(
      (index, subject, now) => {
        const instance = instances[index]
        const isToSave = instance?.take(subject, now) === true
        if (isToSave) {
          instance.confirm(subject, now)
        }
        return isToSave
      },
      now => {
        const news = instances.map(instance => instance.tell())
        instances.forEach((instance, index) => news.forEach((levels, from) => { if (from !== index) instance.hear(levels, now) }))
      })
    const figures = `read again: ${everything.readAgain} with all saved, ${told.readAgain} with ${told.saves} of ${told.requests} saved`
    t.true(told.readAgain < everything.readAgain / 2, figures)
    t.true(told.saves < told.requests / 2, figures)
    t.log(figures)
  })

  // The store restarts empty, and nobody notices. Were a level saved only once, everyone who asks for it would wait
  // for the whole prompt to be read for the rest of the day.
  it('has a level saved again after a while', t => {
    const levels = SavedLevels.create()
    t.true(levels.take(1, 0))
    t.false(levels.take(1, 9_999))
    t.true(levels.take(1, 10_000))
  })

  // One instance cannot see the requests of the others. Without a word from them it would save what they have saved.
  it('leaves to others what they have saved', t => {
    const [one, other] = [SavedLevels.create(), SavedLevels.create()]
    one.take(1, 0)
    one.confirm(1, 90)
    other.hear(one.tell(), 500)
    t.false(other.take(1, 600))
    t.deepEqual(other.tell(), [], 'only own saves are told')
  })

  // Right after a change of weights many requests are refused, those too that were to save the first reading of a
  // level. Counted as saved, it would be read again by everyone who asks elsewhere.
  it('has another request save what a refused one was to save', t => {
    const levels = SavedLevels.create()
    levels.take(1, 0)
    t.deepEqual(levels.tell(), [], 'others hear only of what was read')
    levels.giveBack(1)
    t.true(levels.take(1, 2))
    levels.confirm(1, 90)
    levels.giveBack(1)
    t.false(levels.take(1, 100), 'an answer that is cut later takes nothing back')
  })

  // Many distinct prompts must not fill the instance's memory, which would end it.
  it('forgets what was saved long ago', t => {
    const levels = SavedLevels.create()
    for (let level = 0; level < 1000; level++) {
      levels.confirm(level, level)
    }
    t.is(levels.tell().length, 64, 'a message stays one datagram')
    const messages = Array.from({ length: 200 }, () => levels.tell())
    t.deepEqual(messages[199], [], 'nothing is told for ever')
    t.is(new Set(messages.flat()).size, 1000, 'and everything at least once')
    levels.confirm(5000, 100_000)
    t.deepEqual(levels.tell(), [5000])
    t.true(levels.take(1, 100_000))
  })
})
