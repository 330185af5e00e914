import { Command, Option } from 'clipanion'
import { formatErrors, loadConfigurationFile, loadRouterSettings } from 'foxtaillever-settings'
import { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'

export class ConfigValidateCommand extends Command {
  static override paths = [['config', 'validate']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check files without sending them anywhere.',
    details: 'Tells each fault with file, line, column and how to mend it.',
    examples: [['Check the configuration', 'foxtaillever config validate sertaneja.configuration.jsonc'], ['Check the settings of an instance', 'foxtaillever config validate --router sertaneja.router.jsonc']]
  })

  files = Option.Rest({ required: 1, name: 'file' })
  router = Option.Boolean('--router', false, { description: 'The files are settings of entry instances.' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  async execute (): Promise<ExitCode> {
    const results = await Promise.all(this.files.map(async file => ({ file, complaints: await this.check(file) })))
    const isValid = results.every(({ complaints }) => complaints.length === 0)
    const lines = results.flatMap(({ file, complaints }) => complaints.length === 0 ? [`${file}: valid`] : complaints)
    this.context.stdout.write(this.json ? formatJson(results) : lines.map(line => `${line}\n`).join(''))
    return isValid ? ExitCode.Done : ExitCode.InvalidFile
  }

  private async check (file: string): Promise<readonly string[]> {
    return formatErrors(this.router ? await loadRouterSettings(file, this.context.env) : await loadConfigurationFile(file))
  }
}
