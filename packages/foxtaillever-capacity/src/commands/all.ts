/**
 * Runs every measurement behind docs/CAPACITY.md and prints its tables.
 */
import { Command, Option } from 'clipanion'

const PARTS = ['costs', 'loads', 'events']

export class AllCommand extends Command {
  static override paths = [['all'], Command.Default]
  static override usage = Command.Usage({ description: 'Run every measurement.' })

  sizes = Option.String('--sizes', '9,50,150,300', { description: 'Fleets to measure, in members.' })

  async execute (): Promise<number> {
    for (const part of PARTS) {
      await this.cli.run([part])
    }
    return await this.cli.run(['members', '--sizes', this.sizes])
  }
}
