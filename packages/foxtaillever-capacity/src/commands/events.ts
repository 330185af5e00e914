/**
 * Prints how much cache events improve placement that otherwise knows the computed
 * homes and the usage that answers report.
 */
import { Command } from 'clipanion'
import { comparePlacements, type Scale } from '../measures/comparePlacements.js'
import { createTable, type Row } from '../report/table.js'

const SEEDS = [1, 2]

const scales: readonly Scale[] = [
  { title: 'today: 9 daemons, 6 workers, 60 requests/s', daemons: 9, workers: 6, requestsPerSecond: 60, prefixes: 150 },
  { title: 'a tenth of the two-year size: 38 daemons, 67 workers, 550 requests/s', daemons: 38, workers: 67, requestsPerSecond: 550, prefixes: 1500 },
  { title: 'the two-year size: 380 daemons, 670 workers, 5,500 requests/s', daemons: 380, workers: 670, requestsPerSecond: 5500, prefixes: 15_000 }
]

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function createRows (scale: Scale): readonly Row[] {
  const runs = SEEDS.map(seed => comparePlacements(scale, seed))
  return runs[0]!.map(({ kind }, index) => {
    const results = runs.map(run => run[index]!)
    const rates = results.map(({ hitRate }) => hitRate * 100)
    return [kind, mean(rates), Math.max(...rates) - Math.min(...rates), mean(results.map(({ p50 }) => p50)), mean(results.map(({ p99 }) => p99))]
  })
}

export class EventsCommand extends Command {
  static override paths = [['events']]
  static override usage = Command.Usage({ description: 'Measure what cache events add to placement.' })

  async execute (): Promise<void> {
    for (const scale of scales) {
      const headers = ['', 'hit rate, %', 'spread over seeds', 'first token p50, ms', 'p99, ms']
      this.context.stdout.write(`${createTable(scale.title, headers, createRows(scale))}\n`)
    }
  }
}
