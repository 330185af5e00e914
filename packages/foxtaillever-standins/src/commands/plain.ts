import { Command } from 'clipanion'
import { createPlainServer } from '../plain/plainServer.js'
import { StandinCommand } from './standinCommand.js'

export class PlainCommand extends StandinCommand {
  static override paths = [['plain']]
  static override usage = Command.Usage({
    description: 'Serve a plain service: citations and exports.',
    details: 'Faults are switched at run time: POST /faults with slownessMs, failures and lostAnswers.'
  })

  async execute (): Promise<void> {
    await this.serve('plain', createPlainServer().server)
  }
}
