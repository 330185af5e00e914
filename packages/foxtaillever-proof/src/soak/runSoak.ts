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
  try {
    return { oracle, faults: await soak(options, { deployment, oracle, random, clock }) }
  } finally {
    await deployment.end()
  }
}

type Parts = Pick<FaultContext, 'deployment' | 'oracle' | 'random' | 'clock'>

/** Returns how often each fault was brought about. */
async function soak (options: SoakOptions, parts: Parts): Promise<Record<string, number>> {
  const { deployment, oracle, clock } = parts
  const load = SoakLoad.create({ ...parts, requestsPerSecond: options.requestsPerSecond })
  const context: FaultContext = {
    ...parts,
    disturb: entry => load.disturb(entry),
    drain: entry => load.drain(entry),
    draining: new Set()
  }
  const arrivals = load.run()
  const endsAt = clock.now() + options.seconds * 1000
  const faults: Record<string, number> = {}
  // Two at a time, so that faults meet.
  await Promise.all([
    disturbUntil(endsAt, context, faults),
    disturbUntil(endsAt, context, faults),
    tellUntil(endsAt, context, options.onProgress, load)
  ])
  load.stop()
  await arrivals
  await waitUntil(clock, clock.now() + REST_MS)
  oracle.finish()
  await readInvariants(deployment, oracle)
  await load.close()
  return faults
}

async function disturbUntil (endsAt: number, context: FaultContext, counts: Record<string, number>): Promise<void> {
  const { clock, random } = context
  while (clock.now() < endsAt) {
    const fault = soakFaults[random.below(soakFaults.length)]
    if (fault) {
      counts[fault.name] = (counts[fault.name] ?? 0) + 1
      await fault.run(context)
    }
    await waitUntil(clock, clock.now() + random.below(LONGEST_CALM_MS))
  }
}

async function tellUntil (endsAt: number, { clock, oracle }: FaultContext, onProgress: (line: string) => void, load: SoakLoad): Promise<void> {
  while (clock.now() + PROGRESS_MS < endsAt) {
    await waitUntil(clock, clock.now() + PROGRESS_MS)
    const counts = [...oracle.counts.values()]
    const violated = counts.reduce((sum, count) => sum + count.violated, 0)
    onProgress(`${Math.round((endsAt - clock.now()) / 1000)} s left, ${oracle.outcomes.get('whole') ?? 0} whole, ${load.inFlight} in flight, ${violated} violated`)
    counts.flatMap(({ details }) => details.splice(0)).forEach(detail => onProgress(`  ${detail}`))
  }
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
