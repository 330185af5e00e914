import { Command } from 'clipanion'
import { ExitCode } from '../exitCode.js'

export class DemoCommand extends Command {
  static override paths = [['demo']]
  static override usage = Command.Usage({ category: 'Help', description: 'Tell how to try everything on one machine.' })

  async execute (): Promise<ExitCode> {
    this.context.stdout.write([
      'In a checkout, `npm start -- --keep` runs a whole deployment in one process and',
      'prints its addresses, among them FOXTAILLEVER_ADDRESS and FOXTAILLEVER_TOKEN for',
      'this command line. docs/newcomers.md walks through it in ten minutes.',
      ''
    ].join('\n'))
    return ExitCode.Done
  }
}
