import { Command, Option } from 'clipanion'
import { ChangeKind } from 'foxtaillever-fleet'
import type { ExitCode } from '../exitCode.js'
import { PublishCommand } from '../publish/publishCommand.js'
import { findPreset } from './presetShow.js'

export class PresetSwitchCommand extends PublishCommand {
  static override paths = [['preset', 'switch']]
  static override usage = Command.Usage({
    category: 'Presets',
    description: 'Put another preset in force.',
    examples: [['Before the morning peak', 'foxtaillever preset switch peaks --wait']]
  })

  name = Option.String({ name: 'name' })

  async execute (): Promise<ExitCode> {
    return await this.publish(configuration => findPreset(configuration, this.name)
      .map(preset => preset.name === configuration.presetInForce ? [] : [{ kind: ChangeKind.SwitchPreset as const, name: preset.name }]))
  }
}
