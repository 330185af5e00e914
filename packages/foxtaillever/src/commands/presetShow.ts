import { Command, Option } from 'clipanion'
import { Failure, FailureCode, type Configuration, type Preset, type PresetName } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { OperatorCommand } from '../operatorCommand.js'

/** Finds a preset by the name that an operator typed. */
export function findPreset ({ presets }: Configuration, name: string): Either<Failure, Preset> {
  const preset = presets[name as PresetName]
  return preset ? Right(preset) : Left(Failure.notRun(FailureCode.BadRequest, `There is no preset "${name}": name one of ${Object.keys(presets).join(', ')}.`))
}

export class PresetShowCommand extends OperatorCommand {
  static override paths = [['preset', 'show']]
  static override usage = Command.Usage({ category: 'Presets', description: 'Show what a preset puts in force; the one in force when none is named.' })

  name = Option.String({ name: 'name', required: false })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const view = await connection.call(async client => await client.configuration())
      return view
        .chain(({ configuration }) => findPreset(configuration, this.name ?? configuration.presetInForce))
        .map(preset => this.print(preset, () => formatTable(['setting', 'value'], Object.entries(preset).map(([key, value]) => [key, String(value)]))))
    })
  }
}
