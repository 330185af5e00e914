import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { homeDomains, homeOf, type HomePlace } from '../levelHome.js'

const LEVELS = 2000

interface NamedPlace extends HomePlace {
  readonly name: string
}

function placesIn (domains: readonly string[], seed: number): NamedPlace[] {
  const random = SeededRandom.create(seed)
  return domains.map((failureDomain, index) => ({ name: `${failureDomain}${index}`, hash: random.below(2 ** 32), failureDomain, weight: 1 }))
}

function repeat (domains: readonly string[], times: number): string[] {
  return Array.from({ length: times }, () => domains).flat()
}

interface Outcome {
  /** Share of the levels whose engine is in the domain of their store. */
  readonly near: number
  /** Levels of the engine with the most, as a multiple of the mean. */
  readonly most: number
  readonly engineOf: ReadonlyMap<number, string>
}

function assign (stores: readonly HomePlace[], engines: readonly NamedPlace[]): Outcome {
  const random = SeededRandom.create(5)
  const counts = new Map<string, number>()
  const engineOf = new Map<number, string>()
  let near = 0
  for (let level = 0; level < LEVELS; level++) {
    const key = random.below(2 ** 32)
    const domains = homeDomains(key, stores, engines)
    const home = homeOf(key, engines.filter(({ failureDomain }) => domains === undefined || domains.has(failureDomain)))
    counts.set(home?.name ?? '', (counts.get(home?.name ?? '') ?? 0) + 1)
    engineOf.set(key, home?.name ?? '')
    near += homeOf(key, stores)?.failureDomain === home?.failureDomain ? 1 : 0
  }
  return { near: near / LEVELS, most: Math.max(...counts.values()) * engines.length / LEVELS, engineOf }
}

describe('the home of a level', () => {
  // Each store has its own link, which is the bottleneck at a peak. If all levels are fetched from one store, or across
  // failure domains, callers wait for the link or for levels that are read again.
  describe('with a store in each failure domain', () => {
    const stores = placesIn(['a', 'b', 'c'], 1)
    const engines = placesIn(repeat(['a', 'b', 'c'], 14), 2)

    it('is in the domain of its engine, and levels are spread over all stores and engines', t => {
      const { near, most } = assign(stores, engines)
      t.is(near, 1)
      t.true(most < 1.6, `${most}`)
      const counts = stores.map(store => [...assign(stores, engines).engineOf.keys()].filter(key => homeOf(key, stores) === store).length)
      t.true(counts.every(count => count > LEVELS * 0.28 && count < LEVELS * 0.39), `${counts}`)
    })

    // An engine crashes. If the homes of other levels moved too, the whole fleet would fetch or read levels at once.
    it('stays when another engine is removed', t => {
      const before = assign(stores, engines).engineOf
      const after = assign(stores, engines.slice(1)).engineOf
      const moved = [...before].filter(([key, name]) => name !== engines[0]?.name && after.get(key) !== name).length
      t.true(moved < LEVELS * 0.03, `${moved} of ${LEVELS}`)
    })
  })

  // Without a share of the levels, engines of a failure domain without a store would be idle, and the others overloaded.
  it('gives a failure domain without a store its share', t => {
    const { near, most } = assign(placesIn(['a', 'b', 'c'], 1), placesIn(repeat(['a', 'b', 'c', 'd'], 20), 2))
    t.true(near > 0.7 && near < 0.8, `${near}`)
    t.true(most < 1.9, `${most}`)
  })

  it('is any engine with equal probability where there is one store, or none', t => {
    const engines = placesIn(repeat(['a', 'b', 'c'], 2), 2)
    const one = assign(placesIn(['a'], 1), engines)
    t.true(one.near > 0.28 && one.near < 0.39, `${one.near}`)
    t.true(one.most < 1.2, `${one.most}`)
    t.true(assign([], engines).most < 1.2)
  })
})
