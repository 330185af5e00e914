/** Prints what the log and the router's soft state would cost each daemon at the two-year size. */
import { Command } from 'clipanion'
import { computeBytesPerSecond, listFactLoads } from '../measures/factLoads.js'
import { measureLog } from '../measures/logCost.js'
import { createTable, type Row } from '../report/table.js'
import { limits, twoYearSize } from '../sizes.js'

const POLLS_PER_SECOND = 0.5
const MICROSECONDS_PER_PERCENT = 1e4
/** Share of requests that are not idempotent. The users stated none, so costs are printed for one percent. */
const CLAIMED_SHARE = 0.01

/** One entry of the platform's instance list as JSON. */
const listedText = JSON.stringify({ name: 'language-worker-123', kind: 'backend-server', address: '10.1.2.123:8000', failureDomain: 'domain-3', state: 'live' })

function describeFit (bytes: number): string {
  return bytes <= limits.bytesPerSecond ? 'fits' : 'does not fit'
}

async function createLogRows (): Promise<readonly Row[]> {
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
    const rows = listFactLoads().map((load): Row => {
      const bytes = computeBytesPerSecond(load)
      return [load.title, load.factsPerSecond, load.bytesEach, bytes, describeFit(bytes)]
    })
    this.context.stdout.write(`${createTable('The platform\'s log and list', ['', ''], await createLogRows())}\n`)
    this.context.stdout.write(`${createTable('Soft state of the router if all of it were told', ['', 'facts/s in the fleet', 'bytes each', 'bytes/s a daemon', ''], rows)}\n`)
  }
}
