import { Command, Option } from 'clipanion'
import { PlacementPolicy } from 'foxtaillever-core'
import { runExperiment } from '../experiment/runExperiment.js'
import { createRunReport } from '../report/htmlReport.js'
import { formatResults } from '../report/textTable.js'
import { EXIT_CODES, ExperimentCommand, type ExitCode } from './experimentCommand.js'

export class RunCommand extends ExperimentCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    description: 'Send one seeded workload and report what callers received.',
    details: `Without --target a whole deployment on stand-ins runs in this process. ${EXIT_CODES}`,
    examples: [
      ['A slow engine in the middle of a run', '$0 run --shape presedan --seconds 20 --fault "5 worker-2 slowFactor=8" --fault "15 worker-2 slowFactor=1" --html report.html']
    ]
  })

  seconds = Option.String('--seconds', '20', { description: 'Measured time.' })
  policy = Option.String('--policy', PlacementPolicy.ExpectedFirstToken, { description: `Placement: ${Object.values(PlacementPolicy).join(', ')}.` })
  targets = Option.Array('--target', [], { description: 'URL of a running entry instance; repeat it for several.' })

  protected override async perform (): Promise<ExitCode> {
    const { results } = await runExperiment({
      ...this.options(this.seconds),
      variant: this.targets.length > 0 ? 'target' : this.policy,
      preset: this.placement(this.policy),
      targets: this.targets
    })
    this.context.stdout.write(formatResults(results))
    await this.write(results, createRunReport(results))
    return this.exitCode([results])
  }
}
