import { Command, Option } from 'clipanion'
import type { Explanation } from 'foxtaillever-control'
import { ExitCode } from '../exitCode.js'
import { formatExplanation } from '../format/formatExplanation.js'
import { OperatorCommand } from '../operatorCommand.js'

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Tell what was decided for a request and why.',
    details: 'Asks every instance, since any may have served it. Each keeps only its latest requests; what it dropped cannot be told. The request id is in the x-request-id header of every answer.'
  })

  requestId = Option.String({ name: 'request-id' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const answers = await connection.askAll(async client => await client.explain(this.requestId))
      return answers.map(list => {
        const found = list.flatMap(({ answer }) => answer.caseOf<readonly Explanation[]>({ Left: () => [], Right: explanation => [explanation] }))
        return found.length > 0 ? this.print(found, () => found.map(formatExplanation).join('\n')) : this.tellNothing(list.length)
      })
    })
  }

  private tellNothing (asked: number): ExitCode {
    this.context.stderr.write(`None of ${asked} instances has a record of ${this.requestId}: it is too old, its instance was replaced, or the id is not the one of the answer's x-request-id header.\n`)
    return ExitCode.Different
  }
}
