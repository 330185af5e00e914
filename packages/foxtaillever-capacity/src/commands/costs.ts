/**
 * Prints the cost of single operations of control work and, computed from them,
 * of each scheme that disseminates soft state.
 */
import { Command } from 'clipanion'
import { measureFold } from '../measures/foldCost.js'
import { measureMessage } from '../measures/messageCost.js'
import { measureSizes, measureCosts, computeSchemeCosts } from '../measures/schemes.js'
import { createTable, type Row } from '../report/table.js'
import { limits, SECONDS_PER_DAY, twoYearSize } from '../sizes.js'

const SIZES = [9, 50, twoYearSize.daemons]

const MICROSECONDS_PER_PERCENT = 1e4

function createMessageRows (): readonly Row[] {
  const kinds: readonly (readonly [string, number, number])[] = [['probe or answer', 1, 0], ['one fact', 0, 1], ['twelve facts', 0, 12], ['ten entries', 10, 0]]
  return kinds.map(([title, entries, facts]) => {
    const { bytes, encodeMicroseconds, decodeMicroseconds } = measureMessage(entries, facts)
    return [title, bytes, encodeMicroseconds, decodeMicroseconds]
  })
}

function createSchemeRows (): readonly Row[] {
  const costs = measureCosts()
  return SIZES.flatMap(size => computeSchemeCosts(size, costs).map(({ scheme, sentPerSecond, receivedPerSecond, corePercent }): Row => {
    const bytes = sentPerSecond + receivedPerSecond
    const fits = bytes <= limits.bytesPerSecond && corePercent <= limits.corePercent
    return [scheme, size, sentPerSecond, receivedPerSecond, corePercent, fits ? 'fits' : 'does not fit']
  }))
}

function createFoldRows (): readonly Row[] {
  const cost = measureFold()
  const changesPerSecond = twoYearSize.changesPerDay / SECONDS_PER_DAY
  return [
    ['snapshot record, bytes', cost.snapshotBytes],
    ['record of one change, bytes', cost.changeBytes],
    ['copy for a peer, bytes', cost.copyBytes],
    ['heap of the folded configuration, MB', cost.heapBytes / 1e6],
    ['fold one change, µs', cost.changeMicroseconds],
    ['810 changes a day, % of a core', cost.changeMicroseconds * changesPerSecond / MICROSECONDS_PER_PERCENT],
    ['810 changes a day, bytes/s', cost.changeBytes * changesPerSecond],
    ['start from a snapshot, ms', cost.snapshotMicroseconds / 1000],
    ['give a copy, ms', cost.sendCopyMicroseconds / 1000],
    ['take a copy, ms', cost.receiveCopyMicroseconds / 1000],
    ['pass over a record of another kind, µs', cost.skipRecordMicroseconds]
  ]
}

export class CostsCommand extends Command {
  static override paths = [['costs']]
  static override usage = Command.Usage({ description: 'Measure single messages and the fold, and weigh the ways of spreading soft state.' })

  async execute (): Promise<void> {
    const { fixed, fact, entry } = measureSizes()
    const print = (text: string): void => { this.context.stdout.write(`${text}\n`) }
    print(createTable('One message', ['', 'bytes with headers', 'make, µs', 'take, µs'], createMessageRows()))
    print(`An empty message takes ${fixed} bytes with headers; a fact adds ${fact}, an entry ${entry}.\n`)
    print(createTable('Ways to tell one fact a second from each member to all', ['', 'members', 'sent, bytes/s', 'received, bytes/s', '% of a core', ''], createSchemeRows()))
    print(createTable('Configuration at the two-year size', ['', ''], createFoldRows()))
  }
}
