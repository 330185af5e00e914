/**
 * Measures fleets of members without a router and prints the cost of a daemon, its
 * growth with each member, and how fast the fleet recovers from faults.
 */
import { Command, Option } from 'clipanion'
import { FleetRun, type FleetFigures } from '../measures/fleetRun.js'
import { formatQuantiles } from '../report/quantiles.js'
import { fitLine, evaluateLine, type Line } from '../report/fitLine.js'
import { createTable } from '../report/table.js'
import { limits, twoYearSize } from '../sizes.js'

const DEFAULT_SIZES = '9,50,150,300'

const BYTES_PER_MEGABYTE = 1e6

type Measure = readonly [string, (figures: FleetFigures) => number, number]

const measures: readonly Measure[] = [
  ['steady, bytes/s sent and received', ({ steady }) => steady.sentPerSecond + steady.receivedPerSecond, limits.bytesPerSecond],
  ['steady, busiest member, bytes/s', ({ steady }) => steady.maxPerSecond, limits.bytesPerSecond],
  ['steady, % of a core', ({ steady }) => steady.corePercent, limits.corePercent],
  ['heap, MB', ({ heapPerMember }) => heapPerMember / BYTES_PER_MEGABYTE, limits.memoryMegabytes],
  ['one fact a second from each, bytes/s', ({ sharing }) => sharing.sentPerSecond + sharing.receivedPerSecond, limits.bytesPerSecond],
  ['one fact a second from each, % of a core', ({ sharing }) => sharing.corePercent, limits.corePercent]
]

const times: readonly (readonly [string, (figures: FleetFigures) => string])[] = [
  ['join of all at once, ms', figures => figures.joinMs.toFixed(0)],
  ['change, log up, ms p50 / p99 / max', figures => formatQuantiles(figures.changeLogUp)],
  ['change, log down, ms p50 / p99 / max', figures => formatQuantiles(figures.changeLogDown)],
  ['one dead, gone from all, ms p50 / p99 / max', figures => formatQuantiles(figures.death)],
  ['a seventh dead, all gone from all, ms p50 / p99 / max', figures => formatQuantiles(figures.domainLoss)],
  ['herd restart, agreed after ms', figures => figures.herd.agreedMs.toFixed(0)],
  ['herd restart, busiest second, average member, bytes', figures => figures.herd.averagePeakPerSecond.toFixed(0)],
  ['herd restart, busiest second, busiest member, bytes', figures => figures.herd.peakPerSecond.toFixed(0)],
  ['halves apart and healed, agreed after ms', figures => figures.healing.agreedMs.toFixed(0)],
  ['healing, busiest second, average member, bytes', figures => figures.healing.averagePeakPerSecond.toFixed(0)],
  ['healing, busiest second, busiest member, bytes', figures => figures.healing.peakPerSecond.toFixed(0)]
]

function formatLine ({ base, perUnit }: Line): string {
  return `${base.toPrecision(3)} + ${perUnit.toPrecision(3)} n`
}

function createSpendingRow (all: readonly FleetFigures[], [title, valueOf, limit]: Measure): readonly (string | number)[] {
  const line = fitLine(all.map(figures => ({ size: figures.size, value: valueOf(figures) })))
  const expected = evaluateLine(line, twoYearSize.daemons)
  return [title, ...all.map(valueOf), formatLine(line), expected, limit, expected <= limit ? 'fits' : 'does not fit']
}

export class MembersCommand extends Command {
  static override paths = [['members']]
  static override usage = Command.Usage({ description: 'Measure fleets of light members over loopback.' })

  sizes = Option.String('--sizes', DEFAULT_SIZES)

  async execute (): Promise<void> {
    const all: FleetFigures[] = []
    for (const size of this.sizes.split(',').map(Number)) {
      all.push(await FleetRun.measure(size, line => this.context.stderr.write(`${line}\n`)))
    }
    const headers = all.map(({ size }) => `${size} members`)
    this.context.stdout.write(createTable('What one daemon spends', ['', ...headers, 'line', `at ${twoYearSize.daemons}`, 'limit', ''], measures.map(measure => createSpendingRow(all, measure))))
    this.context.stdout.write(createTable('How fast the fleet repairs itself', ['', ...headers], times.map(([title, show]) => [title, ...all.map(show)])))
  }
}
