/** Executes one run on an embedded deployment or on given addresses: seeded arrivals, faults, results. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import type { Preset } from 'foxtaillever-core'
import { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import type { Shape } from '../deployment/shape.js'
import type { Fault } from '../faults/fault.js'
import { scheduleFaults } from '../faults/scheduleFaults.js'
import { checkPromises } from '../results/checkPromises.js'
import { createResults, type Results } from '../results/results.js'
import type { Answer } from '../workload/answer.js'
import type { Arrival } from '../workload/arrival.js'
import { createArrivals } from '../workload/createArrivals.js'
import { createRandom } from '../workload/createRandom.js'
import { runArrivals } from '../workload/runArrivals.js'

export interface ExperimentOptions {
  readonly variant: string
  readonly shape: Shape
  readonly preset: Partial<Preset>
  /** URLs of running entry instances; empty for an embedded deployment. */
  readonly targets: readonly string[]
  readonly seed: number
  readonly requestsPerSecond: number
  /** Duration of the measurement. */
  readonly seconds: number
  /** Time before the measurement; its answers are checked but not measured. */
  readonly warmUpSeconds: number
  /** Times count from the end of the warm-up. */
  readonly faults: readonly Fault[]
  readonly keyOf?: (account: string) => string
  readonly onProgress?: (progress: Progress) => void
}

export interface Progress {
  readonly second: number
  readonly arrivals: number
  readonly answered: number
  readonly notComplete: number
}

export interface Experiment {
  readonly results: Results
  readonly answers: readonly Answer[]
}

const NANOSECONDS_PER_MILLISECOND = 1e6

const PROGRESS_INTERVAL_MS = 1000

/** Reports once a second how many arrivals have been answered. */
class ProgressMeter {
  private answered = 0
  private notComplete = 0
  private second = 0
  private readonly timer: NodeJS.Timeout

  private constructor (arrivals: number, report: (progress: Progress) => void) {
    this.timer = setInterval(() => {
      this.second += 1
      report({ second: this.second, arrivals, answered: this.answered, notComplete: this.notComplete })
    }, PROGRESS_INTERVAL_MS)
  }

  static create (arrivals: number, report: (progress: Progress) => void): ProgressMeter {
    return new ProgressMeter(arrivals, report)
  }

  recordAnswer (answer: Answer): void {
    this.answered += 1
    this.notComplete += answer.state === 'complete' ? 0 : 1
  }

  stop (): void {
    clearInterval(this.timer)
  }
}

function drawArrivals (options: ExperimentOptions): Arrival[] {
  return createArrivals({
    shape: options.shape,
    random: createRandom(options.seed),
    requestsPerSecond: options.requestsPerSecond,
    seconds: options.warmUpSeconds + options.seconds,
    idPrefix: `${options.variant.replaceAll(/[^\w-]/g, '_')}-${options.seed}`
  })
}

/** Answers after the warm-up, with their times counted from its end. */
function withoutWarmUp (answers: readonly Answer[], warmUpMs: number): Answer[] {
  return answers
    .filter(answer => answer.arrival.offsetMs >= warmUpMs)
    .map(answer => ({ ...answer, arrival: { ...answer.arrival, offsetMs: answer.arrival.offsetMs - warmUpMs } }))
}

async function measure (options: ExperimentOptions, addresses: readonly string[], deployment: EmbeddedDeployment | undefined): Promise<Experiment> {
  const warmUpMs = options.warmUpSeconds * 1000
  const arrivals = drawArrivals(options)
  const faults = options.faults.map(fault => ({ ...fault, offsetMs: fault.offsetMs + warmUpMs }))
  const cancelFaults = deployment ? scheduleFaults(deployment, faults) : () => {}
  const meter = ProgressMeter.create(arrivals.length, options.onProgress ?? (() => {}))
  const delay = monitorEventLoopDelay({ resolution: 1 })
  delay.enable()
  const answers = await runArrivals(addresses, arrivals, {
    onAnswer: answer => meter.recordAnswer(answer),
    ...(options.keyOf ? { keyOf: options.keyOf } : {})
  })
  delay.disable()
  meter.stop()
  cancelFaults()
  const measured = withoutWarmUp(answers, warmUpMs)
  const results = createResults({
    settings: {
      variant: options.variant,
      shape: options.shape.name,
      seed: options.seed,
      requestsPerSecond: options.requestsPerSecond,
      seconds: options.seconds,
      faults: options.faults
    },
    answers: measured,
    promises: deployment ? checkPromises(deployment, answers) : undefined,
    loopDelayP99Ms: delay.percentile(99) / NANOSECONDS_PER_MILLISECOND
  })
  return { results, answers: measured }
}

export async function runExperiment (options: ExperimentOptions): Promise<Experiment> {
  if (options.targets.length > 0) {
    return await measure(options, options.targets, undefined)
  }
  const { shape, preset, seed } = options
  const deployment = await EmbeddedDeployment.start({ shape, preset, seed })
  try {
    return await measure(options, deployment.addresses, deployment)
  } finally {
    await deployment.stop()
  }
}
