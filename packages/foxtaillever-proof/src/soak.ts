/** `npm run soak -- --seed S --seconds N`: exits 1 when a promise was broken. */
import { Cli, Command, Option } from 'clipanion'
import { runSoak } from './soak/runSoak.js'

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run real processes on loopback under load; kill, pause and restart them at random.' })

  seed = Option.String('--seed', '1', { description: 'Seed of load and faults.' })
  seconds = Option.String('--seconds', '60', { description: 'How long load and faults last.' })
  rate = Option.String('--requests-per-second', '60', { description: 'Requests that arrive per second.' })

  async execute (): Promise<number> {
    const { oracle, faults } = await runSoak({
      seed: Number(this.seed),
      seconds: Number(this.seconds),
      requestsPerSecond: Number(this.rate),
      onProgress: line => console.error(line)
    })
    const counts = [...oracle.counts]
    counts.forEach(([promise, { checked, violated, details }]) => {
      console.log(`${promise}: ${checked} checked, ${violated} violated`)
      details.forEach(detail => console.log(`  ${detail}`))
    })
    console.log(`outcomes: ${JSON.stringify(Object.fromEntries(oracle.outcomes))}`)
    console.log(`faults: ${JSON.stringify(faults)}`)
    return counts.some(([, { violated }]) => violated > 0) ? 1 : 0
  }
}

await Cli.from([SoakCommand], { binaryName: 'npm run soak --' }).runExit(process.argv.slice(2))
