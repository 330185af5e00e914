import { Command, Option } from 'clipanion'
import type { Explanation } from 'foxtaillever-control'
import { ExitCode } from '../exitCode.js'
import { formatExplanation } from '../format/formatExplanation.js'
import { formatJson } from '../format/formatJson.js'
import { selectStateChangesAround, formatLog, isAboutRequest, isStateChange, readLogs } from '../logs/readLogs.js'
import { OperatorCommand } from '../operatorCommand.js'

/** How long before a request state changes are shown, milliseconds; older ones seldom explain it. */
const LOOKBACK_MS = 3000

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Tell what was decided for a request and why.',
    details: 'Asks every instance, since any may have served it. Each keeps only its latest requests; what it dropped cannot be told. The request id is in the x-request-id header of every answer. With --logs the instances are not asked: the log files of many instances are merged by time, every line about the request, and what the instances that had it came to believe from three seconds before; lines that cannot be read are counted.',
    examples: [['From logs', 'foxtaillever explain 9c41d07be2a35f68 --logs entry-1.log entry-2.log']]
  })

  requestId = Option.String({ name: 'request-id' })
  logs = Option.Boolean('--logs', false, { description: 'Read the log files named instead of asking instances.' })
  files = Option.Rest({ name: 'file' })

  async execute (): Promise<ExitCode> {
    if (this.logs) {
      return await this.explainFromLogs()
    }
    return await this.withConnection(async connection => {
      const answers = await connection.callAll(async client => await client.explain(this.requestId))
      return answers.map(list => {
        const found = list.flatMap(({ answer }) => answer.caseOf<readonly Explanation[]>({ Left: () => [], Right: explanation => [explanation] }))
        return found.length > 0 ? this.print(found, () => found.map(formatExplanation).join('\n')) : this.reportNotFound(list.length)
      })
    })
  }

  private async explainFromLogs (): Promise<ExitCode> {
    const isRequest = isAboutRequest(this.requestId)
    const isAnyStateChange = isStateChange('')
    const { lines, malformed } = await readLogs(this.files, line => isRequest(line) || isAnyStateChange(line))
    const request = lines.filter(isRequest)
    if (request.length === 0) {
      this.context.stderr.write(`No line of these logs is about ${this.requestId}; ${malformed} lines could not be read. Of successes ten a second are logged, of failures 200.\n`)
      return ExitCode.Different
    }
    const stateChanges = new Set(selectStateChangesAround(lines.filter(isAnyStateChange), request, LOOKBACK_MS))
    const story = { lines: lines.filter(line => isRequest(line) || stateChanges.has(line)), malformed }
    this.context.stdout.write(this.json ? formatJson(story) : formatLog(story))
    return ExitCode.Done
  }

  private reportNotFound (instanceCount: number): ExitCode {
    this.context.stderr.write(`None of ${instanceCount} instances has a record of ${this.requestId}: it is too old, its instance was replaced, or the id is not the one of the answer's x-request-id header.\n`)
    return ExitCode.Different
  }
}
