import { describe, it } from 'foxtaillever-testing'
import { AdmissionFleet } from '../../bench/admissionFleet.js'
import { accountShares, LARGE, SHORT, type AdmissionOutcome, type AdmissionShape } from '../../bench/admissionShape.js'

const FLEETS = [8, 62]
const LOADS = [0.5, 0.75, 1, 1.5, 2, 3, 4]
const SEEDS = [1, 2, 3]
const BUCKET_MS = 500

function simulate (changes: Partial<AdmissionShape>): AdmissionOutcome {
  return AdmissionFleet.simulate({ instances: 62, engines: 42, load: 1, durationMs: 8000, isQueued: true, hasShares: true, seed: 1, ...changes })
}

/** Shares on time of the requests sent in each half second. */
function onTimeByBucket (outcome: AdmissionOutcome, durationMs: number, matches = (_: { kind: unknown }): boolean => true): number[] {
  return Array.from({ length: durationMs / BUCKET_MS }, (_, bucket) => outcome.onTimeShare(call => matches(call) && Math.floor(call.sentAt / BUCKET_MS) === bucket))
}

function format (figures: readonly number[]): string {
  return figures.map(figure => figure.toFixed(2)).join(' ')
}

describe('a fleet with scarce capacity', () => {
  // Urgent prompts wait at the engines behind large prompts that were started before them.
  it('shows the wait of urgent prompts when requests are sent at once', t => {
    const wait = simulate({ load: 2, isQueued: false }).medianWait(({ kind }) => kind === SHORT)
    t.true(wait > SHORT.objectiveMs, `${wait}`)
  })

  for (const instances of FLEETS) {
    // Above the capacity nearly all requests are late, and engines read what nobody waits for.
    for (const [name, changes] of [['all prompts', {}], ['large prompts', { shortLoad: 0.5 }]] as const) {
      it(`serves as many requests on time at 2 and 4 times the capacity, ${name}, ${instances} instances`, t => {
        const [before = [], after = []] = [false, true].map(isQueued => LOADS.map(load => simulate({ instances, load, isQueued, durationMs: 5000, ...changes }).goodput()))
        t.log(`sent at once ${format(before)}, admission queue ${format(after)}`)
        for (const load of [2, 4]) {
          const index = LOADS.indexOf(load)
          // More short prompts fit into the capacity, so that the curve of all prompts has its peak at the highest load.
          const peak = Math.max(...'shortLoad' in changes ? after : after.slice(0, index))
          t.true((after[index] as number) >= 0.95 * peak, `load ${load}`)
        }
      })
    }

    // The memory of an engine is filled with prompts that it cannot read yet, and it preempts those that run.
    it(`preempts a tenth of the requests, ${instances} instances`, t => {
      for (const load of [2, 4]) {
        const [before, after] = [false, true].map(isQueued => simulate({ instances, load, isQueued }).preemptions) as [number, number]
        t.log(`load ${load}: sent at once ${before}, admission queue ${after}`)
        t.true(before >= 10, 'nothing to compare with')
        t.true(after <= 0.1 * before)
      }
    })

    for (const seed of SEEDS) {
      // After each loss the engines read requests that are late already, and the next loss adds to them.
      it(`recovers within 3 s from three losses of engines in bursts, ${instances} instances, seed ${seed}`, t => {
        const periods = [2000, 5500, 9000].map(from => ({ from, to: from + 1000 }))
        const durationMs = 16_000
        const shape = { instances, seed, load: 0.75, durationMs, bursts: periods, burstFactor: 2.4, losses: periods, lostShare: 0.3 }
        const before = onTimeByBucket(simulate({ ...shape, isQueued: false }), durationMs)
        const after = simulate(shape)
        const all = onTimeByBucket(after, durationMs)
        const urgent = onTimeByBucket(after, durationMs, ({ kind }) => kind === SHORT)
        t.log(`sent at once ${format(before)}`)
        t.log(`admission queue ${format(all)}, urgent ${format(urgent)}`)
        t.true((before[13_000 / BUCKET_MS] as number) < 0.9, 'nothing to compare with')
        t.true(Math.min(...all.slice(13_000 / BUCKET_MS)) >= 0.9)
        t.true(Math.min(...urgent) >= 0.8)
      })

      // One account sends seven times its usual load, and the requests of all others are late.
      it(`keeps the share on time of other accounts while one floods, ${instances} instances, seed ${seed}`, t => {
        const shape = { instances, seed, load: 0.7, durationMs: 12_000 }
        const flood = { account: 0, factor: 7 }
        const usual = simulate(shape)
        const [unshared, shared] = [false, true].map(hasShares => simulate({ ...shape, flood, hasShares })) as [AdmissionOutcome, AdmissionOutcome]
        const atUsualLoad = accountShares.map((_, account) => account).filter(account => account !== flood.account)
        const kept = (outcome: AdmissionOutcome): number[] => atUsualLoad.map(account => outcome.onTimeShare(call => call.account === account) / usual.onTimeShare(call => call.account === account))
        const [total, totalUnshared] = [shared.goodput(), unshared.goodput()]
        t.log(`total ${total.toFixed(0)}/s, without shares ${totalUnshared.toFixed(0)}/s`)
        t.log(`without shares ${format(kept(unshared))}`)
        t.log(`shares ${format(kept(shared))}`)
        t.log(`shares, large ${format(atUsualLoad.map(account => shared.onTimeShare(call => call.account === account && call.kind === LARGE)))}`)
        t.true(Math.min(...kept(shared)) >= 0.95)
        t.true(total >= 0.97 * totalUnshared)
      })
    }

    // The smallest of sixteen accounts waits behind the requests of all others.
    it(`serves a quarter of the requests of the smallest account on time, ${instances} instances`, t => {
      const outcome = simulate({ instances, load: 2, durationMs: 12_000 })
      const smallest = accountShares.length - 1
      const shares = accountShares.map((_, account) => outcome.onTimeShare(call => call.account === account && call.kind === LARGE))
      t.log(format(shares))
      t.true(outcome.rejections > 0, 'no overload')
      t.true((shares[smallest] as number) >= 0.25)
    })
  }
})
