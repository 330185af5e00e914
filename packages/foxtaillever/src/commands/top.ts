import { Command, Option } from 'clipanion'
import { firstTokenQuantile, hitRate, total, type Figures } from 'foxtaillever-control'
import type { Either } from 'purify-ts'
import { Right } from 'purify-ts'
import type { Failure } from 'foxtaillever-core'
import type { Connection } from '../connection/connection.js'
import { ExitCode } from '../exitCode.js'
import { formatTable, type Row } from '../format/formatTable.js'
import { formatCounts, formatSeconds, formatShare } from '../format/formatValues.js'
import { subtractFigures } from '../format/subtractFigures.js'
import { OperatorCommand } from '../operatorCommand.js'

const DEFAULT_PERIOD_MS = 2000

/** Moves the cursor to the top left and clears the screen below it. */
const CLEAR_SCREEN = '\u001b[H\u001b[J'

type Sample = ReadonlyMap<string, Figures>

export class TopCommand extends OperatorCommand {
  static override paths = [['top']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Watch all instances live.',
    details: 'The first picture counts since each instance started, later ones since the picture before. Ends with Ctrl-C.'
  })

  once = Option.Boolean('--once', false, { description: 'Print one picture and end.' })
  periodMs = Option.String('--period-ms', String(DEFAULT_PERIOD_MS), { description: 'Between two pictures, milliseconds.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      let previous: Sample = new Map()
      for (;;) {
        const sample = await this.sample(connection)
        const ended = sample.isLeft() || this.once
        sample.ifRight(now => {
          this.show(now, previous)
          previous = now
        })
        if (ended) {
          return sample.map(() => ExitCode.Done)
        }
        await new Promise(resolve => setTimeout(resolve, Number(this.periodMs)))
      }
    })
  }

  private async sample (connection: Connection): Promise<Either<Failure, Sample>> {
    const answers = await connection.callAll(async client => await client.figures())
    return answers.chain(list => Right(new Map(list.flatMap(({ instance, answer }) => answer.caseOf<ReadonlyArray<readonly [string, Figures]>>({ Left: () => [], Right: figures => [[instance, figures]] })))))
  }

  private show (sample: Sample, previous: Sample): void {
    const rows = [...sample].map(([instance, figures]) => createRow(instance, subtractFigures(figures, previous.get(instance))))
    const table = formatTable(['instance', 'served/s', 'first token p50', 'p99', 'hit rate', 'waiting', 'running', 'refused', 'failed', 'late'], rows)
    this.print(Object.fromEntries(sample), () => this.once ? table : `${CLEAR_SCREEN}${table}`)
  }
}

function createRow (instance: string, figures: Figures): Row {
  const seconds = Math.max(0.001, (figures.takenAt - figures.startedAt) / 1000)
  return [
    instance,
    (figures.served / seconds).toFixed(1),
    formatSeconds(firstTokenQuantile(figures, 0.5)),
    formatSeconds(firstTokenQuantile(figures, 0.99)),
    formatShare(hitRate(figures)),
    formatCounts(figures.waiting),
    String(figures.running),
    formatCounts(figures.refused),
    String(total(figures.failed)),
    String(figures.late)
  ]
}
