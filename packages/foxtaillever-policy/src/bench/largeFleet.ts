/**
 * Prints the latencies of a large fleet, depending on how its instances learn of each other's load.
 * Run it with `node packages/foxtaillever-policy/dist/bench/largeFleet.js`.
 */
import { EngineFleet } from './engineFleet.js'
import { LoadKnowledge } from './fleetShape.js'

/** Requests a second of a deployment of seventy instances on a calm day, and half more. */
const RATES = [385, 600]

/** Link capacities, tokens a millisecond: enough for a third of the levels, or for all. */
const LINKS = [200, 5000]

const names: Readonly<Record<LoadKnowledge, string>> = {
  [LoadKnowledge.None]: 'own requests alone',
  [LoadKnowledge.Heartbeats]: 'last words of all',
  [LoadKnowledge.Queried]: 'asked'
}

for (const rate of RATES) {
  for (const linkRate of LINKS) {
    for (const isLinkCharged of [false, true]) {
      for (const knowledge of [LoadKnowledge.None, LoadKnowledge.Heartbeats, LoadKnowledge.Queried]) {
        const { p50, p99, lateShare, repeatedShare, spread } = EngineFleet.simulate({ instances: 70, engines: 42, rate, linkRate, knowledge, isLinkCharged, loss: 0.025, seed: 1 })
        const figures = [`p50 ${p50} ms`, `p99 ${p99} ms`, `late ${(100 * lateShare).toFixed(1)}%`, `read again ${(100 * repeatedShare).toFixed(0)}%`, `busiest ${spread.toFixed(2)}`]
        console.log(`${rate}/s, link ${linkRate}, ${isLinkCharged ? 'charged' : 'not charged'}, ${names[knowledge]}: ${figures.join(', ')}`)
      }
    }
  }
}
