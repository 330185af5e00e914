/**
 * Prints what callers of a large fleet get by how its instances know of load.
 * Run it with `node packages/foxtaillever-policy/dist/bench/largeFleet.js`.
 */
import { EngineFleet } from './engineFleet.js'
import { Knowledge } from './fleetShape.js'

/** One deployment of seventy instances on a calm day, and half more. */
const RATES = [385, 600]

/** Tokens a millisecond: a third of the levels fit through, or all of them. */
const LINKS = [200, 5000]

const names: Readonly<Record<Knowledge, string>> = {
  [Knowledge.None]: 'own requests alone',
  [Knowledge.Beats]: 'last words of all',
  [Knowledge.Asked]: 'asked'
}

for (const rate of RATES) {
  for (const linkRate of LINKS) {
    for (const isLinkCharged of [false, true]) {
      for (const knowledge of [Knowledge.None, Knowledge.Beats, Knowledge.Asked]) {
        const { p50, p99, lateShare, againShare, spread } = EngineFleet.play({ instances: 70, engines: 42, rate, linkRate, knowledge, isLinkCharged, loss: 0.025, seed: 1 })
        const figures = [`p50 ${p50} ms`, `p99 ${p99} ms`, `late ${(100 * lateShare).toFixed(1)}%`, `read again ${(100 * againShare).toFixed(0)}%`, `busiest ${spread.toFixed(2)}`]
        console.log(`${rate}/s, link ${linkRate}, ${isLinkCharged ? 'charged' : 'not charged'}, ${names[knowledge]}: ${figures.join(', ')}`)
      }
    }
  }
}
