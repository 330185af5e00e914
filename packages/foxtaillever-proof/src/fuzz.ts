/** `npm run fuzz -- --seed S --runs N`: exits 1 when a promise was broken. */
import { Cli, Command, Option } from 'clipanion'
import { runFuzz } from './fuzz/runFuzz.js'

const PROGRESS_RUNS = 500

class FuzzCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Fuzz the router against an oracle under a virtual clock.' })

  seed = Option.String('--seed', '1', { description: 'Seed of the campaign.' })
  runs = Option.String('--runs', '1000', { description: 'Lives of the small deployment.' })
  replayFrom = Option.String('--path', { description: 'Path printed with a failure, to replay it.' })
  replayPath = Option.String('--replay-path', { description: 'Replay path printed with a failure.' })

  async execute (): Promise<number> {
    const report = await runFuzz({
      seed: Number(this.seed),
      runs: Number(this.runs),
      path: this.replayFrom,
      replayPath: this.replayPath,
      onRun: runs => runs % PROGRESS_RUNS === 0 && console.error(`${runs} runs`)
    })
    console.log(JSON.stringify({ ...report, failure: report.failure === '' ? 'none' : 'see below' }))
    console.log(report.failure)
    return report.failure === '' ? 0 : 1
  }
}

await Cli.from([FuzzCommand], { binaryName: 'npm run fuzz --' }).runExit(process.argv.slice(2))
