/** One soak: load and faults for a stated time, then the questions. */
import { SeededRandom, SystemClock, waitUntil } from 'foxtaillever-core'
import { request } from 'undici'
import { SoakDeployment } from './soakDeployment.js'
import { soakFaults, type FaultContext } from './soakFaults.js'
import { SoakLoad } from './soakLoad.js'
import { SoakOracle, SoakPromise } from './soakOracle.js'

export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly onProgress: (line: string) => void
}

export interface SoakReport {
  readonly oracle: SoakOracle
  /** How often each fault was brought about. */
  readonly faults: Readonly<Record<string, number>>
}

const LONGEST_CALM_MS = 2000
const PROGRESS_MS = 10_000

/** Longer than any deadline of a caller. */
const REST_MS = 15_000

const SCRAPE_MS = 1000

export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const clock = SystemClock.create()
  const random = SeededRandom.create(options.seed)
  const oracle = SoakOracle.create()
  const deployment = await SoakDeployment.create(run => oracle.ran(run))
  const load = SoakLoad.create({ deployment, oracle, random, clock, requestsPerSecond: options.requestsPerSecond })
  const context: FaultContext = {
    deployment,
    oracle,
    random,
    clock,
    disturb: entry => load.disturb(entry),
    drain: async entry => load.drain(entry)
  }
  const endsAt = clock.now() + options.seconds * 1000
  const arrivals = load.run()
  const faults = await disturbUntil(endsAt, context, options.onProgress, load)
  load.stop()
  await arrivals
  await waitUntil(clock, clock.now() + REST_MS)
  oracle.finish()
  await readInvariants(deployment, oracle)
  await load.close()
  await deployment.end()
  return { oracle, faults }
}

async function disturbUntil (endsAt: number, context: FaultContext, onProgress: (line: string) => void, load: SoakLoad): Promise<Record<string, number>> {
  const { clock, random, oracle } = context
  const counts: Record<string, number> = {}
  let progressAt = clock.now() + PROGRESS_MS
  while (clock.now() < endsAt) {
    const fault = soakFaults[random.below(soakFaults.length)]
    if (fault) {
      counts[fault.name] = (counts[fault.name] ?? 0) + 1
      await fault.run(context)
    }
    await waitUntil(clock, clock.now() + random.below(LONGEST_CALM_MS))
    if (clock.now() >= progressAt) {
      progressAt = clock.now() + PROGRESS_MS
      const violated = [...oracle.counts.values()].reduce((sum, count) => sum + count.violated, 0)
      onProgress(`${Math.round((endsAt - clock.now()) / 1000)} s left, ${oracle.outcomes.get('whole') ?? 0} whole, ${load.inFlight} in flight, ${violated} violated`)
    }
  }
  return counts
}

const INVARIANT_LINE = /^foxtaillever_invariant_(checks|violations)_total\{invariant="([^"]+)"\} (\d+)/

/** What the instances that now live have asserted; earlier ones took their counts with them. */
async function readInvariants (deployment: SoakDeployment, oracle: SoakOracle): Promise<void> {
  for (const { control, child } of deployment.entries) {
    const answer = await request(`${control}/metrics`, { headersTimeout: SCRAPE_MS })
    const text = await answer.body.text()
    for (const line of text.split('\n')) {
      const match = INVARIANT_LINE.exec(line)
      if (match) {
        const count = Number(match[3])
        const isViolations = match[1] === 'violations'
        oracle.add(SoakPromise.ProgramInvariants, isViolations ? 0 : count, isViolations ? count : 0, () => `${child.options.name}: ${match[2]}`)
      }
    }
  }
}
