/**
 * Prints what the log and the router's soft state would cost each daemon at the
 * two-year size.
 */
import { Command } from 'clipanion'
import { bytesPerSecondOf, factLoads } from '../measures/factLoads.js'
import { measureLog } from '../measures/logCost.js'
import { createTable, type Row } from '../report/table.js'
import { limits, twoYearSize } from '../sizes.js'

const POLLS_PER_SECOND = 0.5
const MICROSECONDS_PER_PERCENT = 1e4
/** Share of requests that are not idempotent; the users name none, so it is counted by the percent. */
const CLAIMED_SHARE = 0.01

/** One entry of the platform's list as JSON. */
const listedText = JSON.stringify({ name: 'language-worker-123', kind: 'backend-server', address: '10.1.2.123:8000', failureDomain: 'domain-3', state: 'live' })

function fits (bytes: number): string {
  return bytes <= limits.bytesPerSecond ? 'fits' : 'does not fit'
}

async function logRows (): Promise<readonly Row[]> {
  const cost = await measureLog()
  const claims = twoYearSize.requestsPerSecond * CLAIMED_SHARE
  return [
    ['idle long poll, bytes each', cost.pollBytes],
    ['idle long poll, bytes/s', cost.pollBytes * POLLS_PER_SECOND],
    ['idle long poll, % of a core, server included', cost.pollMicroseconds * POLLS_PER_SECOND / MICROSECONDS_PER_PERCENT],
    ['claim with its outcome, bytes', cost.claimBytes],
    ['1% of requests not idempotent: bytes/s read by each daemon', cost.claimBytes * claims],
    ['1% of requests not idempotent: % of a core to parse', cost.claimMicroseconds * claims / MICROSECONDS_PER_PERCENT],
    ['share of requests at which claims alone reach 14 KB/s, %', limits.bytesPerSecond / (cost.claimBytes * claims)],
    ['platform\'s list once, bytes', listedText.length * (twoYearSize.daemons + twoYearSize.workers)]
  ]
}

export class LoadsCommand extends Command {
  static override paths = [['loads']]
  static override usage = Command.Usage({ description: 'Work out the log\'s and the soft state\'s bytes at the two-year size.' })

  async execute (): Promise<void> {
    const rows = factLoads().map((load): Row => {
      const bytes = bytesPerSecondOf(load)
      return [load.title, load.factsPerSecond, load.bytesEach, bytes, fits(bytes)]
    })
    this.context.stdout.write(`${createTable('The platform\'s log and list', ['', ''], await logRows())}\n`)
    this.context.stdout.write(`${createTable('Soft state of the router if all of it were told', ['', 'facts/s in the fleet', 'bytes each', 'bytes/s a daemon', ''], rows)}\n`)
  }
}
