import { Command, Option } from 'clipanion'
import { compareConfigurations } from 'foxtaillever-control'
import { Right } from 'purify-ts'
import { ExitCode } from '../exitCode.js'
import { loadPublication } from '../publish/loadPublication.js'
import { PublishCommand } from '../publish/publishCommand.js'

export class ConfigPublishCommand extends PublishCommand {
  static override paths = [['config', 'publish']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Publish a file.',
    details: 'Publishes the differences to the revision in force. When another operator was first, it is refused and nothing changes. The preset in force and drained servers are kept unless the file names them.',
    examples: [['Publish and wait until it is in force everywhere', 'foxtaillever config publish sertaneja.configuration.jsonc --wait']]
  })

  file = Option.String({ name: 'file' })

  async execute (): Promise<ExitCode> {
    const loaded = await loadPublication(this.file)
    return await loaded.caseOf({
      Left: async failure => {
        this.context.stderr.write(`${failure.message}\n`)
        return ExitCode.InvalidFile
      },
      Right: async merge => await this.publish(configuration => Right(compareConfigurations(configuration, merge(configuration))))
    })
  }
}
