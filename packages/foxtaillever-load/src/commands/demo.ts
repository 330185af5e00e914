import { Command, Option } from 'clipanion'
import { PlacementPolicy } from 'foxtaillever-core'
import { EmbeddedDeployment, keyOf, OPERATOR_TOKEN } from '../deployment/embeddedDeployment.js'
import { shapes } from '../deployment/shape.js'
import { createArrivals } from '../workload/createArrivals.js'
import { createRandom } from '../workload/createRandom.js'
import { runArrivals } from '../workload/runArrivals.js'
import { summarize, type Summary } from '../results/summarize.js'

const SEED = 1
const SECONDS = 10
const REQUESTS_PER_SECOND = 40

export class DemoCommand extends Command {
  static override paths = [['demo']]
  static override usage = Command.Usage({
    description: 'Show the main job on embedded stand-ins.',
    details: 'Starts a whole deployment in this process, sends it requests with nested shared prompts, prints what callers received and ends.'
  })

  keep = Option.Boolean('--keep', false, { description: 'Go on serving and print the addresses.' })
  shapeName = Option.String('--shape', 'sertaneja', { description: `One of ${Object.keys(shapes).join(', ')}.` })

  async execute (): Promise<number> {
    const shape = shapes[this.shapeName]
    if (!shape) {
      this.context.stderr.write(`No shape ${this.shapeName}. Name one of ${Object.keys(shapes).join(', ')}.\n`)
      return 2
    }
    const deployment = await EmbeddedDeployment.start({ shape, placement: PlacementPolicy.ExpectedFirstToken, seed: SEED })
    this.context.stdout.write(`${deployment.addresses.length} entry instances before ${deployment.engines.size} engines, preset ordinary-days in force.\n`)
    const arrivals = createArrivals({ shape, random: createRandom(SEED), requestsPerSecond: REQUESTS_PER_SECOND, seconds: SECONDS })
    const summary = summarize(await runArrivals(deployment.addresses, arrivals))
    this.context.stdout.write(formatTable(summary))
    if (this.keep) {
      await this.serveOn(deployment, shape.model)
    }
    await deployment.stop()
    return summary.broken === 0 && summary.complete > 0 ? 0 : 1
  }

  private async serveOn (deployment: EmbeddedDeployment, model: string): Promise<void> {
    const account = deployment.options.shape.accounts[0]?.name ?? ''
    const body = JSON.stringify({ model, stream: true, max_tokens: 8, messages: [{ role: 'user', content: 'Which feed for sows in their last week?' }] })
    this.context.stdout.write(`\nServing on ${deployment.addresses.join(' ')}. Stop with Ctrl-C.\n`)
    const addresses = deployment.entries.map(entry => entry.control).join(',')
    this.context.stdout.write('In another terminal, in this directory:\n')
    this.context.stdout.write(`export FOXTAILLEVER_ADDRESS=${addresses} FOXTAILLEVER_TOKEN=${OPERATOR_TOKEN} CALLERS=${deployment.addresses[0] ?? ''}\n`)
    this.context.stdout.write('alias foxtaillever="node packages/foxtaillever/dist/main.js"\n')
    this.context.stdout.write('foxtaillever members\n')
    this.context.stdout.write(`curl -N $CALLERS/v1/chat/completions -H 'authorization: Bearer ${keyOf(account)}' -H 'content-type: application/json' -d '${body}'\n`)
    await new Promise<void>(resolve => {
      process.once('SIGINT', resolve)
      process.once('SIGTERM', resolve)
    })
  }
}

function formatTable (summary: Summary): string {
  const rows: ReadonlyArray<readonly [string, string]> = [
    ['requests', String(summary.requests)],
    ['answers complete', `${summary.complete} (${summary.refused} refused, ${summary.broken} broken)`],
    ['prefix hit rate', `${(summary.prefixHitRate * 100).toFixed(1)} %`],
    ['time to first token', `p50 ${summary.firstTokenP50Ms} ms, p95 ${summary.firstTokenP95Ms} ms, p99 ${summary.firstTokenP99Ms} ms`],
    ['recomputed prompt tokens', String(summary.recomputedTokens)]
  ]
  return rows.map(([name, value]) => `${name.padEnd(26)}${value}\n`).join('')
}
