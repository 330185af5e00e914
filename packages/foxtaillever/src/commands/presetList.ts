import { Command } from 'clipanion'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { OperatorCommand } from '../operatorCommand.js'

export class PresetListCommand extends OperatorCommand {
  static override paths = [['preset', 'list']]
  static override usage = Command.Usage({ category: 'Presets', description: 'List the presets and the one in force.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const view = await connection.call(async client => await client.configuration())
      return view.map(({ configuration: { presets, presetInForce } }) => this.print({ presets, presetInForce }, () => formatTable(
        ['preset', 'in force', 'placement', 'queue limit', 'retries', 'timeout'],
        Object.values(presets).map(preset => [
          preset.name, preset.name === presetInForce ? 'yes' : '', preset.placement, String(preset.queueLimit), `${preset.retryShare * 100} %`, `${preset.defaultTimeoutMs} ms`
        ])
      )))
    })
  }
}
