/** `npm run soak:platform -- --seed S --seconds N`: exits 1 when a promise was broken. */
import { Cli, Command, Option } from 'clipanion'
import { runPlatformSoak } from './platformSoak/runPlatformSoak.js'

class PlatformSoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run the real entry process on loopback against stand-ins of the users\' platform; kill, pause and restart it, and inject faults into store and servers at random.' })

  seed = Option.String('--seed', '1', { description: 'First seed of load and faults.' })
  seeds = Option.String('--seeds', '1', { description: 'How many seeds to run, one after the other.' })
  seconds = Option.String('--seconds', '20', { description: 'How long load and faults of one seed last.' })
  entry = Option.String('--entry', 'target/entry.cjs', { description: 'The program to run.' })
  faults = Option.String('--faults', '', { description: 'Names of the faults to draw from, separated by commas; all if not given.' })

  hasEndlessAnswers = Option.Boolean('--endless', false, { description: 'Servers also answer without end.' })
  hasSilences = Option.Boolean('--silences', false, { description: 'Servers also fall silent for a moment, beside configurations in quick succession and an instance that stands still.' })

  async execute (): Promise<number> {
    let broken = 0
    const drawn = this.faults === '' ? {} : { faultNames: this.faults.split(',') }
    for (let seed = Number(this.seed); seed < Number(this.seed) + Number(this.seeds); seed += 1) {
      const { violations, outcomes, faults, seen, excused } = await runPlatformSoak({ seed, seconds: Number(this.seconds), entry: this.entry, hasEndlessAnswers: this.hasEndlessAnswers, hasSilences: this.hasSilences, ...drawn })
      broken += violations.length
      console.log(`seed ${seed}: ${violations.length} promises broken, outcomes ${JSON.stringify(outcomes)}, faults ${JSON.stringify(faults)}, seen ${JSON.stringify(seen)}, excused ${JSON.stringify(excused)}`)
      violations.forEach(violation => console.log(`  ${violation}`))
    }
    return broken > 0 ? 1 : 0
  }
}

await Cli.from([PlatformSoakCommand], { binaryName: 'npm run soak:platform --' }).runExit(process.argv.slice(2))
