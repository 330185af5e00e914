import { Command, Option } from 'clipanion'
import { compareConfigurations, describeChanges } from 'foxtaillever-control'
import { ExitCode } from '../exitCode.js'
import { OperatorCommand } from '../operatorCommand.js'
import { loadPublication, type MergeConfiguration } from '../publish/loadPublication.js'

export class ConfigDiffCommand extends OperatorCommand {
  static override paths = [['config', 'diff']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show what publishing a file would change.',
    details: 'Ends with 1 when there are differences, 0 when there are none.'
  })

  file = Option.String({ name: 'file' })

  async execute (): Promise<ExitCode> {
    const loaded = await loadPublication(this.file)
    return await loaded.caseOf({
      Left: async failure => {
        this.context.stderr.write(`${failure.message}\n`)
        return ExitCode.InvalidFile
      },
      Right: async merge => await this.compare(merge)
    })
  }

  private async compare (merge: MergeConfiguration): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const view = await connection.call(async client => await client.configuration())
      return view.map(({ configuration }) => {
        const lines = describeChanges(configuration, compareConfigurations(configuration, merge(configuration)))
        this.print({ revision: configuration.revision, changes: lines }, () => lines.map(line => `${line}\n`).join('') || `No difference from revision ${configuration.revision}.\n`)
        return lines.length === 0 ? ExitCode.Done : ExitCode.Different
      })
    })
  }
}
