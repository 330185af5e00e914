import { Command, Option } from 'clipanion'
import { addFigures, firstTokenQuantile, hitRate, total, type Figures } from 'foxtaillever-control'
import type { InstanceAnswer } from '../connection/connection.js'
import { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { formatCounts, formatInstant, formatSeconds, formatShare } from '../format/formatValues.js'
import { OperatorCommand } from '../operatorCommand.js'

export class ReportCommand extends OperatorCommand {
  static override paths = [['report']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Report on one client account over all instances.',
    details: 'Counts since the instances started: instances keep nothing, so what a replaced one counted is gone with it, and the report says from when each counts. For a whole week under replacements, sum the metrics in your own metrics store as the operators\' page on metrics shows.',
    examples: [['The weekly report to the law firm', 'foxtaillever report --account mreza-odvjetnika']]
  })

  account = Option.String('--account', { required: true, description: 'Name of the client account.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const answers = await connection.callAll(async client => await client.figures(this.account))
      return answers.map(list => this.report(list))
    })
  }

  private report (answers: ReadonlyArray<InstanceAnswer<Figures>>): ExitCode {
    const answered = answers.flatMap(({ instance, answer }) => answer.caseOf<ReadonlyArray<readonly [string, Figures]>>({ Left: () => [], Right: figures => [[instance, figures]] }))
    const silent = answers.filter(({ answer }) => answer.isLeft()).map(({ instance, answer }) => `${instance}: ${answer.swap().map(({ message }) => message).orDefault('')}`)
    const [first, ...rest] = answered.map(([, figures]) => figures)
    if (!first) {
      this.context.stderr.write(`No instance returned figures of ${this.account}. ${silent.join(' ')}\n`)
      return ExitCode.Different
    }
    const sum = rest.reduce(addFigures, first)
    const since = Object.fromEntries(answered.map(([instance, figures]) => [instance, formatInstant(figures.startedAt)]))
    this.print({ account: this.account, figures: sum, since, silent }, () => this.describe(sum, since, silent))
    return silent.length === 0 ? ExitCode.Done : ExitCode.Unreachable
  }

  private describe (figures: Figures, since: Readonly<Record<string, string>>, silent: readonly string[]): string {
    const rows = [
      ['served', String(figures.served)],
      ['refused, not run', `${total(figures.refused)} (${formatCounts(figures.refused)})`],
      ['failed after acceptance', `${total(figures.failed)} (${formatCounts(figures.failed)})`],
      ['late', String(figures.late)],
      ['time to first token', `p50 ${formatSeconds(firstTokenQuantile(figures, 0.5))}, p95 ${formatSeconds(firstTokenQuantile(figures, 0.95))}, p99 ${formatSeconds(firstTokenQuantile(figures, 0.99))}`],
      ['prefix hit rate', formatShare(hitRate(figures))],
      ['recomputed prompt tokens', String(figures.recomputedTokens)]
    ]
    const instances = Object.entries(since).map(([instance, instant]) => `${instance} counts since ${instant}\n`)
    return `${formatTable(['account', this.account], rows)}\n${instances.join('')}${silent.map(line => `no answer from ${line}\n`).join('')}`
  }
}
