import { Command, Option } from 'clipanion'
import type { ConfigurationView } from 'foxtaillever-control'
import { createConfigurationFile } from 'foxtaillever-settings'
import type { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'
import { OperatorCommand } from '../operatorCommand.js'

export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show the configuration in force.',
    examples: [['Start a file from what is in force', 'foxtaillever config show --file > now.configuration.jsonc']]
  })

  file = Option.Boolean('--file', false, { description: 'Print it as a file that can be edited and published.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const view = await connection.call(async client => await client.configuration())
      return view.map(shown => this.print(this.file ? createConfigurationFile(shown.configuration) : shown, () => this.describe(shown)))
    })
  }

  private describe (view: ConfigurationView): string {
    const { configuration, offset, digest, history } = view
    if (this.file) {
      return formatJson(createConfigurationFile(configuration))
    }
    const last = history.at(-1)
    return [
      `revision ${configuration.revision}${last ? ` by ${last.author}` : ''}, log read to offset ${offset}, digest ${digest.slice(0, 12)}`,
      `preset in force: ${configuration.presetInForce}`,
      `client accounts: ${Object.keys(configuration.accounts).join(', ') || 'none'}`,
      `backend servers: ${Object.keys(configuration.servers).join(', ') || 'none'}`,
      `models: ${Object.values(configuration.models).map(model => `${model.name} ${model.weightsVersion}`).join(', ') || 'none'}`,
      `plain services: ${Object.values(configuration.services).map(service => `${service.name} at ${service.path}`).join(', ') || 'none'}`,
      ''
    ].join('\n')
  }
}
