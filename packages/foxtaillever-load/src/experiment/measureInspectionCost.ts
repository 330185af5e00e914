/**
 * What it costs callers that operators look: dumps of all instances and
 * explanations under load. Quiet and looked-at segments of the same arrivals
 * follow each other on one deployment, in alternating order, so that what
 * drifts on the machine meanwhile meets both alike.
 */
import { PlacementPolicy, SeededRandom } from 'foxtaillever-core'
import { ControlClient } from 'foxtaillever-control'
import { EmbeddedDeployment, OPERATOR_TOKEN } from '../deployment/embeddedDeployment.js'
import type { Shape } from '../deployment/shape.js'
import { summarize, type Summary } from '../results/summarize.js'
import type { Answer } from '../workload/answer.js'
import { createArrivals } from '../workload/createArrivals.js'
import { runArrivals } from '../workload/runArrivals.js'

export interface LookingOptions {
  readonly shape: Shape
  readonly seed: number
  readonly requestsPerSecond: number
  /** Length of one segment. */
  readonly seconds: number
  /** Pairs of segments. */
  readonly pairs: number
}

export interface Looking {
  readonly quiet: Summary
  readonly lookedAt: Summary
  readonly dumps: number
  readonly explanations: number
  /** Of the largest dump, as JSON. */
  readonly largestDumpBytes: number
}

/** All instances are dumped and asked for an explanation this often, milliseconds. */
const LOOK_PERIOD_MS = 1000

class Onlooker {
  private readonly clients: readonly ControlClient[]
  private running = true
  dumps = 0
  explanations = 0
  largestDumpBytes = 0

  private constructor (deployment: EmbeddedDeployment) {
    this.clients = deployment.entries.map(({ control }) => ControlClient.create(control, OPERATOR_TOKEN))
  }

  static create (deployment: EmbeddedDeployment): Onlooker {
    return new Onlooker(deployment)
  }

  async look (): Promise<void> {
    this.running = true
    while (this.running) {
      await Promise.all(this.clients.map(async client => await this.lookAt(client)))
      await new Promise(resolve => setTimeout(resolve, LOOK_PERIOD_MS))
    }
  }

  stop (): void {
    this.running = false
  }

  private async lookAt (client: ControlClient): Promise<void> {
    const dump = await client.dump()
    dump.ifRight(value => {
      this.dumps += 1
      this.largestDumpBytes = Math.max(this.largestDumpBytes, JSON.stringify(value).length)
    })
    await client.explain('a request that is not there')
    this.explanations += 1
  }
}

export async function measureLooking ({ shape, seed, requestsPerSecond, seconds, pairs }: LookingOptions): Promise<Looking> {
  const deployment = await EmbeddedDeployment.start({ shape, placement: PlacementPolicy.ExpectedFirstToken, seed })
  const onlooker = Onlooker.create(deployment)
  const answers: Record<'quiet' | 'lookedAt', Answer[]> = { quiet: [], lookedAt: [] }
  const send = async (segment: number): Promise<Answer[]> =>
    await runArrivals(deployment.addresses, createArrivals({ shape, random: SeededRandom.create(seed + segment), requestsPerSecond, seconds }))
  // The first segment warms caches and code, and is not counted.
  await send(0)
  for (let pair = 1; pair <= pairs; pair++) {
    const order = pair % 2 === 0 ? ['quiet', 'lookedAt'] as const : ['lookedAt', 'quiet'] as const
    for (const kind of order) {
      const looking = kind === 'lookedAt' ? onlooker.look() : Promise.resolve()
      answers[kind].push(...await send(pair))
      onlooker.stop()
      await looking
    }
  }
  await deployment.stop()
  const { dumps, explanations, largestDumpBytes } = onlooker
  return { quiet: summarize(answers.quiet), lookedAt: summarize(answers.lookedAt), dumps, explanations, largestDumpBytes }
}
