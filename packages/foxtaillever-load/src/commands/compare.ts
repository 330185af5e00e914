import { Command, Option, UsageError } from 'clipanion'
import { compareVariants } from '../experiment/compareVariants.js'
import { parseVariant } from '../experiment/variant.js'
import { createComparisonReport } from '../report/htmlReport.js'
import { formatComparison } from '../report/textTable.js'
import type { Results } from '../results/results.js'
import { EXIT_CODES, ExperimentCommand, type ExitCode } from './experimentCommand.js'

export class CompareCommand extends ExperimentCommand {
  static override paths = [['compare']]
  static override usage = Command.Usage({
    description: 'Compare two or more policies, presets or builds in one interleaved run.',
    details: `Each segment of the seeded workload goes to every variant in turn, in alternating order, on fresh stand-ins. Printed are the figures over all segments and the ratio to the first variant, with its spread over the segments. ${EXIT_CODES}`,
    examples: [
      ['Two policies', '$0 compare random expected-first-token'],
      ['Two presets', '$0 compare \'short={"queueLimit":50}\' \'long={"queueLimit":1000}\' --rate 80'],
      ['Two builds', '$0 compare old=@http://127.0.0.1:8001 new=@http://127.0.0.1:8002 --key key-of-{account}']
    ]
  })

  variants = Option.Rest({ required: 2 })
  seconds = Option.String('--seconds', '8', { description: 'Measured time of one segment.' })
  segments = Option.String('--segments', '3', { description: 'Segments for each variant.' })

  protected override async perform (): Promise<ExitCode> {
    const variants = this.variants.map(text => this.expect(parseVariant(text)))
    if (new Set(variants.map(variant => variant.name)).size < variants.length) {
      throw new UsageError('Each variant needs a name of its own.')
    }
    const comparison = await compareVariants({
      ...this.options(this.seconds),
      onProgress: () => {},
      variants,
      segments: this.number('--segments', this.segments, 1, 100),
      onSegment: (segment, results) => this.reportSegment(segment, results)
    })
    this.context.stdout.write(formatComparison(comparison))
    await this.write(comparison, createComparisonReport(comparison))
    return this.exitCode(comparison.outcomes.map(outcome => outcome.results))
  }

  private reportSegment (segment: number, { settings, summary, loopDelayP99Ms }: Results): void {
    if (!this.quiet) {
      this.context.stderr.write(`segment ${segment + 1} ${settings.variant}: ${summary.complete} of ${summary.requests} complete, first token p99 ${summary.firstTokenP99Ms} ms, event loop delay p99 ${loopDelayP99Ms.toFixed(1)} ms\n`)
    }
  }
}
