import { Command } from 'clipanion'
import { createPlainServer } from '../plain/plainServer.js'
import { serve } from './serve.js'
import { StandinCommand } from './standinCommand.js'

export class PlainCommand extends StandinCommand {
  static override paths = [['plain']]
  static override usage = Command.Usage({ description: 'Serve a plain service: citations and exports.' })

  async execute (): Promise<void> {
    await serve('plain', createPlainServer().server, this.host, this.listenPort())
  }
}
