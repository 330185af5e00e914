import { Command, Option } from 'clipanion'
import { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'
import { formatLog, isStateChange, readLogs } from '../logs/readLogs.js'

export class TimelineCommand extends Command {
  static override paths = [['timeline']]
  static override usage = Command.Usage({
    category: 'Logs',
    description: 'Tell from logs what instances believed, and since when.',
    details: 'Merges the logs of many instances by time: configurations in force, states of backend servers, the lease on orders, the store lost and regained. Lines that cannot be read are counted.',
    examples: [['One backend server', 'foxtaillever timeline --about i-7f3a91c2 entry-1.log entry-2.log']]
  })

  files = Option.Rest({ name: 'file', required: 1 })
  about = Option.String('--about', '', { description: 'Only lines with this text in a field: a server, a revision, a topic.' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  async execute (): Promise<ExitCode> {
    const story = await readLogs(this.files, isStateChange(this.about))
    this.context.stdout.write(this.json ? formatJson(story) : formatLog(story))
    return story.lines.length > 0 ? ExitCode.Done : ExitCode.Different
  }
}
