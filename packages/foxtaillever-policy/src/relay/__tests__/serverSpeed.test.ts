/** Checks the estimate of one server's speed, and that servers of equal speed are placed by the speed of their service. */
import fc from 'fast-check'
import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mixHashes } from '../../placement/rendezvous.js'
import { homeAmong, type HomePlace } from '../levelHome.js'
import { rankCandidates, type ServerCandidate } from '../placeExchange.js'
import { homeWeight, MIN_SAMPLES, ServerSpeed } from '../serverSpeed.js'

const SERVICE = 50
const SET_UP_MS = 20
const TOKENS = 9000

/** Samples of a server with that speed: the known queue is wrong by up to a third. */
function observe (speed: ServerSpeed, tokensPerMs: number, count: number, random: SeededRandom): void {
  for (let sample = 0; sample < count; sample += 1) {
    speed.addSample(TOKENS, SET_UP_MS + TOKENS / tokensPerMs * 1.33 ** (2 * random.next() - 1))
  }
}

describe('ServerSpeed', () => {
  it('is the speed of the service until there are enough samples', t => {
    const speed = ServerSpeed.create(SERVICE)
    observe(speed, 20, MIN_SAMPLES - 1, SeededRandom.create(1))
    t.deepEqual([speed.tokensPerMs(SERVICE), speed.weightStep(SERVICE)], [SERVICE, 0])
    observe(speed, 20, 1, SeededRandom.create(2))
    t.true(speed.tokensPerMs(SERVICE) < SERVICE / 1.3)
  })

  // A server throttles to a third of its speed. Requests sent there by the old speed are all late.
  it('follows a sudden change within eight samples, while the home weight changes by one step at most', t => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = SeededRandom.create(seed)
      const speed = ServerSpeed.create(SERVICE)
      observe(speed, SERVICE, 100, random)
      observe(speed, SERVICE / 3.5, 8, random)
      t.true(speed.tokensPerMs(SERVICE) < SERVICE / 2.3, `seed ${seed}: ${speed.tokensPerMs(SERVICE)}`)
      t.true(speed.weightStep(SERVICE) >= -1)
      observe(speed, SERVICE, 8, random)
      t.is(speed.tokensPerMs(SERVICE), SERVICE, `seed ${seed}`)
    }
  })

  it('has the weight step of its lasting speed', t => {
    for (const [factor, step] of [[0.45, -2], [0.7, -1], [1.1, 0], [1.7, 2], [2.1, 2]] as const) {
      const speed = ServerSpeed.create(SERVICE)
      observe(speed, SERVICE * factor, 300, SeededRandom.create(1))
      t.is(speed.weightStep(SERVICE), step, `${factor}`)
    }
  })

  // A speed between two steps would move the homes of levels with every sample.
  it('keeps its weight step near the midpoint between two steps', t => {
    const speed = ServerSpeed.create(SERVICE, { tokensPerMs: 100, weightStep: 2 })
    Array.from({ length: 100 }, () => speed.addSample(TOKENS, SET_UP_MS + TOKENS / 100))
    const steps = [2, 2.4, 2.8, 2.6, 2.2, 1.6, 1.2].map(position => speed.weightStep(100 / 2 ** (position / 2)))
    t.deepEqual(steps, [2, 2, 2, 2, 2, 2, 2])
    t.is(speed.weightStep(100 / 2 ** (2.9 / 2)), 3)
    t.is(speed.weightStep(100 / 1.29), 0)
  })
})

/** Draws servers of equal speed, with the samples that other instances report of them. */
const fleet = fc.record({ seed: fc.integer({ min: 1, max: 1_000_000 }), servers: fc.integer({ min: 1, max: 40 }), samples: fc.integer({ min: 0, max: 60 }), tokensPerMs: fc.integer({ min: 10, max: 200 }) })

function createCandidate (index: number, random: SeededRandom, tokensPerMs: number, weight: number): ServerCandidate {
  return {
    id: `e${index}`, hash: mixHashes(index + 1, 77), failureDomain: `d${index % 3}`, slots: 32, outstanding: random.below(20), waitingTokens: random.below(30_000), missingTokens: 2890, heldTokens: random.below(90_000), memoryTokens: 71_780, isRefusing: false, isUnreachable: random.below(10) === 0, faultCostMs: 0, isChanging: false, isOutdated: false, coldLeftMs: 0, tokensPerMs, weight
  }
}

/** The home as computed without weights. */
function unweightedHome (key: number, places: readonly HomePlace[]): HomePlace | undefined {
  return places.reduce<HomePlace | undefined>((best, place) => best === undefined || mixHashes(key, place.hash) > mixHashes(key, best.hash) ? place : best, undefined)
}

describe('servers of equal speed', () => {
  // Guards against estimates whose noise moves homes or requests in a fleet where one speed fits all.
  it('are ranked as with weight 1 and the speed of the service, in any fleet', t => {
    fc.assert(fc.property(fleet, ({ seed, servers, samples, tokensPerMs }) => {
      const random = SeededRandom.create(seed)
      const speeds = Array.from({ length: servers }, () => {
        const speed = ServerSpeed.create(tokensPerMs)
        observe(speed, tokensPerMs, samples, random)
        return speed
      })
      const draw = SeededRandom.create(seed)
      const plain = speeds.map((_, index) => createCandidate(index, draw, tokensPerMs, 1))
      const estimated = plain.map((candidate, index) => {
        const speed = speeds[index] as ServerSpeed
        return { ...candidate, tokensPerMs: speed.tokensPerMs(tokensPerMs), weight: homeWeight(speed.weightStep(tokensPerMs)) }
      })
      const need = { promptKey: seed, promptTokens: 9190, sharedTokens: 6300, outputTokens: 10, fetchMs: 27, objectiveMs: 400, workMs: 20, fetchWaitMs: 0, failureDomain: 'd0' }
      const idsOf = (candidates: readonly ServerCandidate[]): string[] => rankCandidates(candidates, need, SeededRandom.create(seed)).map(({ id }) => id)
      const homeHash = homeAmong(seed, undefined, estimated)?.hash
      return idsOf(plain).join() === idsOf(estimated).join() && homeHash === unweightedHome(seed, plain)?.hash
    }))
    t.pass()
  })
})

describe('the weighted home of a level', () => {
  const hashesIn = fc.uniqueArray(fc.integer({ min: 1, max: 2 ** 32 - 1 }), { minLength: 2, maxLength: 40 })
  const weighted = fc.record({ hashes: hashesIn, from: fc.integer({ min: -8, max: 8 }), to: fc.integer({ min: -8, max: 8 }) })

  // Guards against a changed estimate that makes the whole fleet read levels again.
  it('moves only to or from the server whose weight changes, in any fleet', t => {
    fc.assert(fc.property(weighted, ({ hashes, from, to }) => {
      const place = (step: number) => (hash: number, index: number): HomePlace => ({ hash, failureDomain: 'd', weight: homeWeight(index === 0 ? step : index % 5 - 2) })
      const before = hashes.map(place(from))
      const after = hashes.map(place(to))
      return Array.from({ length: 200 }, (_, key) => Math.imul(key + 1, 7919)).every(key => {
        const [old, next] = [homeAmong(key, undefined, before)?.hash, homeAmong(key, undefined, after)?.hash]
        return old === next || (to > from ? next : old) === hashes[0]
      })
    }))
    t.pass()
  })

  it('is at each server for a share of the levels in proportion to its weight', t => {
    const random = SeededRandom.create(1)
    const places = Array.from({ length: 12 }, (_, index) => ({ hash: random.below(2 ** 32), failureDomain: 'd', weight: index % 3 === 0 ? 2 : 1 }))
    const keys = Array.from({ length: 8000 }, () => random.below(2 ** 32))
    const atFast = keys.filter(key => homeAmong(key, undefined, places)?.weight === 2).length / keys.length
    t.true(Math.abs(atFast - 0.5) < 0.03, `${atFast}`)
  })
})
