import { Command, Option } from 'clipanion'
import type { Dump } from 'foxtaillever-control'
import type { InstanceAnswer } from '../connection/connection.js'
import { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'
import { OperatorCommand } from '../operatorCommand.js'

export class DumpCommand extends OperatorCommand {
  static override paths = [['dump']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Print the state of one instance, or of all.',
    details: 'Each dump is of one instant, bounded in size, without secrets, its keys sorted, so that two can be compared with diff.',
    examples: [['Compare two instances', 'diff <(foxtaillever dump entry-1) <(foxtaillever dump entry-2)'], ['All at once', 'foxtaillever dump --all > dump.json']]
  })

  name = Option.String({ name: 'instance', required: false })
  all = Option.Boolean('--all', false, { description: 'Of every instance.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      if (!this.all && this.name === undefined) {
        const dump = await connection.call(async client => await client.dump())
        return dump.map(value => this.print(value, () => formatJson(value)))
      }
      const answers = await connection.callAll(async client => await client.dump())
      return answers.map(list => this.printAll(list))
    })
  }

  private printAll (answers: ReadonlyArray<InstanceAnswer<Dump>>): ExitCode {
    const wanted = answers.filter(({ instance }) => this.all || instance === this.name)
    if (wanted.length === 0) {
      this.context.stderr.write(`There is no instance "${this.name ?? ''}": \`foxtaillever members\` lists them.\n`)
      return ExitCode.Different
    }
    const entries = wanted.map(({ instance, answer }) => [instance, answer.caseOf<unknown>({
      Left: ({ code, verdict, message }) => ({ error: { code, verdict, message } }),
      Right: dump => dump
    })] as const)
    const value = this.all ? Object.fromEntries(entries) : entries[0]?.[1]
    this.print(value, () => formatJson(value))
    return wanted.every(({ answer }) => answer.isRight()) ? ExitCode.Done : ExitCode.Unreachable
  }
}
