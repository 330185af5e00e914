import { writeFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../exitCode.js'
import { createDayReport } from '../logs/createDayReport.js'
import { DayCounts } from '../logs/dayCounts.js'
import { readLogs } from '../logs/readLogs.js'

export class ReportDayCommand extends Command {
  static override paths = [['report', 'day']]
  static override usage = Command.Usage({
    category: 'Logs',
    description: 'Plot load, waiting, refusals and beliefs of a day from logs into one HTML file.',
    details: 'Merges the logs of many instances by time. Requests are counted whole, since instances log how many lines they left out; times are those of the lines that were written.',
    examples: [['One day', 'foxtaillever report day --to day.html entry-1.log entry-2.log']]
  })

  files = Option.Rest({ name: 'file', required: 1 })
  to = Option.String('--to', { required: true, description: 'The HTML file to write.' })

  async execute (): Promise<ExitCode> {
    const { lines, malformed } = await readLogs(this.files, () => true)
    if (lines.length === 0) {
      this.context.stderr.write(`These logs have no line of an instance; ${malformed} lines could not be read.\n`)
      return ExitCode.Different
    }
    await writeFile(this.to, createDayReport(DayCounts.of(lines), this.files, malformed))
    this.context.stdout.write(`${this.to}: ${lines.length} lines of ${this.files.length} files.\n`)
    return ExitCode.Done
  }
}
