import { Command, Option } from 'clipanion'
import { AdministrativeState } from 'foxtaillever-core'
import type { ExitCode } from '../exitCode.js'
import { PublishCommand } from '../publish/publishCommand.js'
import { createServerStateChanges } from '../publish/createServerStateChanges.js'

export class DrainCommand extends PublishCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    category: 'Backend servers',
    description: 'Give a backend server no new work; what runs there is finished.',
    examples: [['Before maintenance of one worker', 'foxtaillever drain order-language-3 --wait']]
  })

  server = Option.String({ name: 'server' })

  async execute (): Promise<ExitCode> {
    return await this.publish(configuration => createServerStateChanges(configuration, this.server, AdministrativeState.Draining))
  }
}
