import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { readSettings } from 'foxtaillever-platform/settings'
import { EitherAsync } from 'purify-ts'
import { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'

export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check the settings file that the platform writes for a process.',
    details: 'Reads it as the process does, and names the field that is wrong.',
    examples: [['Check a file', 'foxtaillever settings check node.json']]
  })

  file = Option.String({ name: 'file' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  async execute (): Promise<ExitCode> {
    const settings = await EitherAsync(async () => await readFile(this.file, 'utf8'))
      .mapLeft(error => (error as Error).message)
      .chain(async text => readSettings(text))
    const complaint = settings.caseOf({ Left: reason => reason, Right: () => '' })
    const text = `${this.file}: ${complaint === '' ? 'valid' : complaint}\n`
    this.context.stdout.write(this.json ? formatJson({ file: this.file, complaint }) : text)
    return complaint === '' ? ExitCode.Done : ExitCode.InvalidFile
  }
}
