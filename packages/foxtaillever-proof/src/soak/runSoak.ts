/** One soak: load and faults for a given time, then the checks. */
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
  /** How often each fault was injected. */
  readonly faults: Readonly<Record<string, number>>
}

const MAX_FAULT_INTERVAL_MS = 2000
const PROGRESS_INTERVAL_MS = 10_000

/** How long the soak waits for open requests after the load, milliseconds: longer than any deadline of a caller. */
const FINAL_WAIT_MS = 15_000

const SCRAPE_TIMEOUT_MS = 1000

export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const clock = SystemClock.create()
  const random = SeededRandom.create(options.seed)
  const oracle = SoakOracle.create()
  const deployment = await SoakDeployment.create(run => oracle.recordRun(run))
  try {
    return { oracle, faults: await runLoadAndFaults(options, { deployment, oracle, random, clock }) }
  } finally {
    await deployment.close()
  }
}

type Parts = Pick<FaultContext, 'deployment' | 'oracle' | 'random' | 'clock'>

/** Returns how often each fault was injected. */
async function runLoadAndFaults (options: SoakOptions, parts: Parts): Promise<Record<string, number>> {
  const { deployment, oracle, clock } = parts
  const load = SoakLoad.create({ ...parts, requestsPerSecond: options.requestsPerSecond })
  const context: FaultContext = {
    ...parts,
    onDisturb: entry => load.recordDisturbance(entry),
    onDrain: entry => load.recordDrain(entry),
    draining: new Set()
  }
  const arrivals = load.run()
  const endsAt = clock.now() + options.seconds * 1000
  const faults: Record<string, number> = {}
  // Two faults at a time, so that they overlap.
  await Promise.all([
    injectFaultsUntil(endsAt, context, faults),
    injectFaultsUntil(endsAt, context, faults),
    reportProgressUntil(endsAt, context, options.onProgress, load)
  ])
  load.stop()
  await arrivals
  await waitUntil(clock, clock.now() + FINAL_WAIT_MS)
  oracle.checkRuns()
  await readInvariants(deployment, oracle)
  await load.close()
  return faults
}

async function injectFaultsUntil (endsAt: number, context: FaultContext, counts: Record<string, number>): Promise<void> {
  const { clock, random } = context
  while (clock.now() < endsAt) {
    const fault = soakFaults[random.below(soakFaults.length)]
    if (fault) {
      counts[fault.name] = (counts[fault.name] ?? 0) + 1
      await fault.run(context)
    }
    await waitUntil(clock, clock.now() + random.below(MAX_FAULT_INTERVAL_MS))
  }
}

async function reportProgressUntil (endsAt: number, { clock, oracle }: FaultContext, onProgress: (line: string) => void, load: SoakLoad): Promise<void> {
  while (clock.now() + PROGRESS_INTERVAL_MS < endsAt) {
    await waitUntil(clock, clock.now() + PROGRESS_INTERVAL_MS)
    const counts = [...oracle.counts.values()]
    const violated = counts.reduce((sum, count) => sum + count.violated, 0)
    onProgress(`${Math.round((endsAt - clock.now()) / 1000)} s left, ${oracle.outcomes.get('whole') ?? 0} whole, ${load.inFlight} in flight, ${violated} violated`)
    counts.flatMap(({ details }) => details.splice(0)).forEach(detail => onProgress(`  ${detail}`))
  }
}

const INVARIANT_LINE = /^foxtaillever_invariant_(checks|violations)_total\{invariant="([^"]+)"\} (\d+)/

/** Adds the invariant counts of the live instances; the counts of killed ones are lost. */
async function readInvariants (deployment: SoakDeployment, oracle: SoakOracle): Promise<void> {
  for (const { control, child } of deployment.entries) {
    const answer = await request(`${control}/metrics`, { headersTimeout: SCRAPE_TIMEOUT_MS })
    const text = await answer.body.text()
    for (const line of text.split('\n')) {
      const match = INVARIANT_LINE.exec(line)
      if (match) {
        const count = Number(match[3])
        const isViolations = match[1] === 'violations'
        oracle.addCounts(SoakPromise.ProgramInvariants, isViolations ? 0 : count, isViolations ? count : 0, () => `${child.options.name}: ${match[2]}`)
      }
    }
  }
}
