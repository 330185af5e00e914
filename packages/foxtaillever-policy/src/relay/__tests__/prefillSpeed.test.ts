/**
 * A deployment's engines read prompts at half the speed of those that a constant
 * was made for. Queues then look half as long as they are, and requests that went
 * to the few engines with the newest weights were all late by a little.
 */
import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { PrefillSpeed, SETTLED_SAMPLES } from '../prefillSpeed.js'

const SET_UP_MS = 20

/** First events of an engine with that speed: queues are known half wrong, and one in ten stands still for long. */
function observe (speed: PrefillSpeed, tokensPerMs: number, count: number, random: SeededRandom): void {
  for (let sample = 0; sample < count; sample += 1) {
    const tokens = 2000 + random.below(12_000)
    const wrong = 0.6 + 0.9 * random.next()
    const stall = random.next() < 0.1 ? 1500 : 0
    speed.observe(tokens, SET_UP_MS + tokens / tokensPerMs * wrong + stall)
  }
}

describe('the speed at which engines read prompts', () => {
  for (const truth of [14, 50, 110, 400]) {
    it(`is found within a third of ${truth} tokens a millisecond after forty answers, whatever the seed`, t => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const speed = PrefillSpeed.create()
        observe(speed, truth, 40, SeededRandom.create(seed))
        const ratio = speed.tokensPerMs / truth
        t.true(ratio > 2 / 3 && ratio < 4 / 3, `seed ${seed}: ${speed.tokensPerMs}`)
      }
    })
  }

  it('follows engines that turn slow', t => {
    const random = SeededRandom.create(1)
    const speed = PrefillSpeed.create()
    observe(speed, 110, 200, random)
    observe(speed, 40, 80, random)
    t.true(speed.tokensPerMs < 55, String(speed.tokensPerMs))
  })

  it('is hardly moved by one answer that took a hundred times as long', t => {
    const speed = PrefillSpeed.create()
    observe(speed, 50, 100, SeededRandom.create(1))
    const before = speed.tokensPerMs
    speed.observe(9000, 20_000)
    t.true(Math.abs(speed.tokensPerMs / before - 1) < 0.05)
  })

  it('does not count prompts too short to tell it, nor answers sooner than one can be', t => {
    const speed = PrefillSpeed.create()
    speed.observe(300, 400)
    speed.observe(9000, 5)
    t.is(speed.samples, 0)
  })

  // A process that has just started knows nothing, and its first requests would be placed by a guess.
  it('is taken from an instance that has seen more, until it has seen enough itself', t => {
    const speed = PrefillSpeed.create()
    speed.hear({ tokensPerMs: 31, samples: 500 })
    t.true(Math.abs(speed.tokensPerMs - 31) < 0.001)
    speed.hear({ tokensPerMs: 90, samples: 1000 })
    t.true(Math.abs(speed.tokensPerMs - 31) < 0.001)
    const other = PrefillSpeed.create()
    observe(other, 50, SETTLED_SAMPLES, SeededRandom.create(1))
    other.hear({ tokensPerMs: NaN, samples: 10_000 })
    t.true(Number.isFinite(other.tokensPerMs))
  })
})
