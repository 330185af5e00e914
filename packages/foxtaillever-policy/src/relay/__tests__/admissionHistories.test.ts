import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { entryOf, idleRoom } from '../__fixtures__/admission.js'
import { AdmissionQueue, type AdmissionDecision, type AdmissionEntry } from '../admissionQueue.js'
import { SHORT_READ_SHARE, type ServerRoom } from '../serverRoom.js'
import { yieldPriority } from '../yieldPriority.js'

const RUNS = { numRuns: 400, seed: 31 }
const KEYS = 12

const time = fc.integer({ min: 0, max: 3000 })
const limit = fc.oneof(time, fc.constant(Infinity))
const entry = fc.record({ key: fc.integer({ min: 0, max: KEYS - 1 }), account: fc.integer({ min: 0, max: 3 }), fingerprint: fc.integer({ min: 0, max: 5 }), tokens: fc.integer({ min: 1, max: 4000 }), heldTokens: fc.integer({ min: 1, max: 4000 }), priority: fc.integer({ min: 0, max: 9 }), objectiveInMs: limit, latestStartInMs: limit, lifeMs: fc.integer({ min: 1, max: 1200 }) })
type DrawnEntry = typeof entry extends fc.Arbitrary<infer Value> ? Value : never
const room = fc.record({ backlogTokens: fc.integer({ min: 0, max: 4000 }), heldTokens: fc.integer({ min: 0, max: 6000 }), outstanding: fc.integer({ min: 0, max: 6 }), memoryTokens: fc.constantFrom(0, 3000, 8000), slots: fc.integer({ min: 1, max: 6 }) })
const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ add: entry, afterMs: fc.integer({ min: 0, max: 40 }) }) },
  { weight: 1, arbitrary: fc.record({ remove: entry, afterMs: fc.constant(0) }) },
  { weight: 2, arbitrary: fc.record({ decide: room, afterMs: fc.integer({ min: 0, max: 400 }) }) }
)

interface Waiting {
  readonly entry: AdmissionEntry
  expiresAt: number
}

/** The history's own record of who waits. */
class History {
  readonly queue = AdmissionQueue.create()
  readonly waiting = new Map<string, Waiting>()
  now = 0

  constructor (private readonly t: { true: (value: boolean, message?: string) => void, is: (a: unknown, b: unknown, message?: string) => void }) {}

  add ({ key, account, lifeMs, objectiveInMs, latestStartInMs, ...rest }: DrawnEntry): void {
    const known = this.waiting.get(`${key}`)
    const expiresAt = this.now + lifeMs
    const added = known ? { ...known.entry, expiresAt } : entryOf(`${key}`, { ...rest, account: `${account}`, objectiveAt: this.now + objectiveInMs, latestStartAt: this.now + latestStartInMs, expiresAt })
    this.queue.add(added, this.now)
    this.waiting.set(`${key}`, { entry: known?.entry ?? added, expiresAt })
  }

  remove (key: string): void {
    this.queue.remove(key)
    this.waiting.delete(key)
  }

  decide (room: ServerRoom): void {
    for (const [key, { expiresAt }] of this.waiting) {
      if (expiresAt <= this.now) {
        this.waiting.delete(key)
      }
    }
    const before = this.queue.queuedTokens(9) + room.backlogTokens
    const decision = this.queue.decide(room, this.now)
    decision.rejected.forEach(({ entry, retryAt }) => {
      this.t.true(this.waiting.delete(entry.key), `${entry.key} rejected without waiting`)
      this.t.true(retryAt >= this.now)
      this.t.true(entry.latestStartAt < this.now + (before - entry.tokens) / room.tokensPerMs, `${entry.key} rejected while there was room`)
    })
    this.checkRoom(decision, room)
    decision.admitted.forEach(admitted => this.t.true(this.waiting.delete(admitted.key), `${admitted.key} admitted without waiting`))
    this.checkOrder(decision)
  }

  checkState (): void {
    const keys = [...this.waiting.keys()]
    this.t.is(this.queue.size, keys.length)
    keys.forEach(key => this.t.true(this.queue.has(key), `${key} lost`))
    this.t.is(this.queue.queuedTokens(9), [...this.waiting.values()].reduce((sum, { entry }) => sum + entry.tokens, 0))
  }

  private checkRoom ({ admitted }: AdmissionDecision, room: ServerRoom): void {
    let { backlogTokens, heldTokens, outstanding } = room
    for (const { tokens, heldTokens: held } of admitted) {
      const readAheadTokens = room.readAheadMs * room.tokensPerMs
      this.t.true((backlogTokens < readAheadTokens || tokens < SHORT_READ_SHARE * readAheadTokens) && outstanding < room.slots)
      this.t.true(room.memoryTokens === 0 || outstanding === 0 || heldTokens + held <= room.memoryTokens)
      backlogTokens += tokens
      heldTokens += held
      outstanding += 1
    }
  }

  /** A request never goes before a more urgent one, unless that one is moved back, and then not before those that it yields to. */
  private checkOrder ({ admitted }: AdmissionDecision): void {
    const waiting = [...this.waiting.values()].map(({ entry }) => entry)
    admitted.forEach(({ priority }, index) => {
      for (const later of [...admitted.slice(index + 1), ...waiting]) {
        this.t.true(priority <= (later.objectiveAt === Infinity ? later.priority : yieldPriority(later.priority)), `${priority} before ${later.priority}`)
      }
    })
  }
}

describe('drawn histories of an admission queue', () => {
  // A request that is admitted twice is read twice; one that is lost waits until its deadline.
  it('admit, reject, remove or expire each request once, in order, within the room', t => {
    fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 80 }), steps => {
      const history = new History(t)
      for (const drawn of steps) {
        history.now += drawn.afterMs
        if ('add' in drawn) {
          history.add(drawn.add)
        } else if ('remove' in drawn) {
          history.remove(`${drawn.remove.key}`)
        } else {
          history.decide({ ...idleRoom, ...drawn.decide })
        }
        history.checkState()
      }
    }), RUNS)
    t.pass()
  })

  // Names of accounts and fingerprints come from callers: each that is kept for ever fills the owner's memory.
  it('keep no state for accounts and requests that are gone', t => {
    const queue = AdmissionQueue.create()
    for (let index = 0; index < 20_000; index += 1) {
      queue.add(entryOf(`${index}`, { account: `${index}`, fingerprint: index, priority: index % 10, latestStartAt: index % 3 === 0 ? 0 : Infinity }), index)
      queue.decide(idleRoom, index)
    }
    t.is(queue.size, 0)
    const counts = countObjects(queue)
    t.log(`${counts} objects`)
    t.true(counts < 4000, `${counts}`)
  })
})

/** Number of objects that can be reached from the value. */
function countObjects (value: unknown): number {
  const seen = new Set<unknown>()
  const pending: unknown[] = [value]
  while (pending.length > 0) {
    const next = pending.pop()
    if (typeof next !== 'object' || next === null || seen.has(next)) {
      continue
    }
    seen.add(next)
    pending.push(...(next instanceof Map ? [...next.values()] : Object.values(next)))
  }
  return seen.size
}
