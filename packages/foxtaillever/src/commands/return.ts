import { Command, Option } from 'clipanion'
import { AdministrativeState } from 'foxtaillever-core'
import type { ExitCode } from '../exitCode.js'
import { PublishCommand } from '../publish/publishCommand.js'
import { createServerStateChanges } from '../publish/createServerStateChanges.js'

export class ReturnCommand extends PublishCommand {
  static override paths = [['return']]
  static override usage = Command.Usage({ category: 'Backend servers', description: 'Put a drained backend server back in service.' })

  server = Option.String({ name: 'server' })

  async execute (): Promise<ExitCode> {
    return await this.publish(configuration => createServerStateChanges(configuration, this.server, AdministrativeState.InService))
  }
}
