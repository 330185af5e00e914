/**
 * Measures how callers are affected when operators request dumps of all
 * instances and explanations under load. Segments without and with these
 * requests, of the same arrivals, follow each other on one deployment in
 * alternating order, so that gradual changes in the load of the machine affect
 * both alike.
 */
import { PlacementPolicy, SeededRandom } from 'foxtaillever-core'
import { ControlClient } from 'foxtaillever-control'
import { EmbeddedDeployment, OPERATOR_TOKEN } from '../deployment/embeddedDeployment.js'
import type { Shape } from '../deployment/shape.js'
import { summarize, type Summary } from '../results/summarize.js'
import type { Answer } from '../workload/answer.js'
import { createArrivals } from '../workload/createArrivals.js'
import { runArrivals } from '../workload/runArrivals.js'

export interface InspectionCostOptions {
  readonly shape: Shape
  readonly seed: number
  readonly requestsPerSecond: number
  /** Length of one segment. */
  readonly seconds: number
  /** Pairs of segments. */
  readonly pairs: number
}

export interface InspectionCost {
  readonly quiet: Summary
  readonly lookedAt: Summary
  readonly dumps: number
  readonly explanations: number
  /** Size of the largest dump as JSON. */
  readonly largestDumpBytes: number
}

/** Interval at which a dump and an explanation are requested from every instance, milliseconds. */
const POLL_INTERVAL_MS = 1000

class OperatorPoller {
  private readonly clients: readonly ControlClient[]
  private running = true
  dumps = 0
  explanations = 0
  largestDumpBytes = 0

  private constructor (deployment: EmbeddedDeployment) {
    this.clients = deployment.entries.map(({ control }) => ControlClient.create(control, OPERATOR_TOKEN))
  }

  static create (deployment: EmbeddedDeployment): OperatorPoller {
    return new OperatorPoller(deployment)
  }

  async poll (): Promise<void> {
    this.running = true
    while (this.running) {
      await Promise.all(this.clients.map(async client => await this.pollInstance(client)))
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    }
  }

  stop (): void {
    this.running = false
  }

  private async pollInstance (client: ControlClient): Promise<void> {
    const dump = await client.dump()
    dump.ifRight(value => {
      this.dumps += 1
      this.largestDumpBytes = Math.max(this.largestDumpBytes, JSON.stringify(value).length)
    })
    await client.explain('a request that is not there')
    this.explanations += 1
  }
}

export async function measureInspectionCost ({ shape, seed, requestsPerSecond, seconds, pairs }: InspectionCostOptions): Promise<InspectionCost> {
  const deployment = await EmbeddedDeployment.start({ shape, placement: PlacementPolicy.ExpectedFirstToken, seed })
  const poller = OperatorPoller.create(deployment)
  const answers: Record<'quiet' | 'lookedAt', Answer[]> = { quiet: [], lookedAt: [] }
  const send = async (segment: number): Promise<Answer[]> =>
    await runArrivals(deployment.addresses, createArrivals({ shape, random: SeededRandom.create(seed + segment), requestsPerSecond, seconds }))
  // The first segment warms caches and code, and is not counted.
  await send(0)
  for (let pair = 1; pair <= pairs; pair++) {
    const order = pair % 2 === 0 ? ['quiet', 'lookedAt'] as const : ['lookedAt', 'quiet'] as const
    for (const kind of order) {
      const polling = kind === 'lookedAt' ? poller.poll() : Promise.resolve()
      answers[kind].push(...await send(pair))
      poller.stop()
      await polling
    }
  }
  await deployment.stop()
  const { dumps, explanations, largestDumpBytes } = poller
  return { quiet: summarize(answers.quiet), lookedAt: summarize(answers.lookedAt), dumps, explanations, largestDumpBytes }
}
