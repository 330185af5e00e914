/**
 * Runs every measurement behind docs/CAPACITY.md and prints its tables.
 */
import { Command, Option } from 'clipanion'

const SUBCOMMANDS = ['costs', 'loads', 'events']

export class AllCommand extends Command {
  static override paths = [['all'], Command.Default]
  static override usage = Command.Usage({ description: 'Run every measurement.' })

  sizes = Option.String('--sizes', '9,50,150,300', { description: 'Fleets to measure, in members.' })

  async execute (): Promise<number> {
    for (const subcommand of SUBCOMMANDS) {
      await this.cli.run([subcommand])
    }
    return await this.cli.run(['members', '--sizes', this.sizes])
  }
}
