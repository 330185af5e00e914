/**
 * The engines of a deployment read prompts at half the speed that a constant
 * assumed. Queues then looked half as long as they were, and all requests that went
 * to the few engines with the newest weights were slightly late.
 */
import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { PrefillSpeed, SETTLED_SAMPLES } from '../prefillSpeed.js'

const SET_UP_MS = 20

/** Samples of an engine with that speed: the known queue is wrong by up to a half, and one in ten engines is paused for long. */
function observe (speed: PrefillSpeed, tokensPerMs: number, count: number, random: SeededRandom): void {
  for (let sample = 0; sample < count; sample += 1) {
    const tokens = 2000 + random.below(12_000)
    const wrong = 0.6 + 0.9 * random.next()
    const stall = random.next() < 0.1 ? 1500 : 0
    speed.addSample(tokens, SET_UP_MS + tokens / tokensPerMs * wrong + stall)
  }
}

describe('the speed at which engines read prompts', () => {
  for (const truth of [14, 50, 110, 400]) {
    it(`is estimated within a third of ${truth} tokens a millisecond after forty answers, whatever the seed`, t => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const speed = PrefillSpeed.create()
        observe(speed, truth, 40, SeededRandom.create(seed))
        const ratio = speed.tokensPerMs / truth
        t.true(ratio > 2 / 3 && ratio < 4 / 3, `seed ${seed}: ${speed.tokensPerMs}`)
      }
    })
  }

  it('follows engines that become slow', t => {
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
    speed.addSample(9000, 20_000)
    t.true(Math.abs(speed.tokensPerMs / before - 1) < 0.05)
  })

  it('ignores prompts that are too short and answers that are impossibly fast', t => {
    const speed = PrefillSpeed.create()
    speed.addSample(300, 400)
    speed.addSample(9000, 5)
    t.is(speed.samples, 0)
  })

  // A process that has just started has no samples, and would place its first requests by the initial estimate.
  it('is adopted from an instance with more samples until there are enough of its own', t => {
    const speed = PrefillSpeed.create()
    speed.adoptReport({ tokensPerMs: 31, samples: 500 })
    t.true(Math.abs(speed.tokensPerMs - 31) < 0.001)
    speed.adoptReport({ tokensPerMs: 90, samples: 1000 })
    t.true(Math.abs(speed.tokensPerMs - 31) < 0.001)
    const other = PrefillSpeed.create()
    observe(other, 50, SETTLED_SAMPLES, SeededRandom.create(1))
    other.adoptReport({ tokensPerMs: NaN, samples: 10_000 })
    t.true(Number.isFinite(other.tokensPerMs))
  })
})
