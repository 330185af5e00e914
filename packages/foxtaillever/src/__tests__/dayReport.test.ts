import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'foxtaillever-testing'
import { runCommand } from '../__fixtures__/runCommand.js'
import { DayCounts, RequestEnd } from '../logs/dayCounts.js'
import type { LogLine } from '../logs/readLogs.js'

function line (second: number, msg: string, fields: object = {}, instance = 'entry-1'): LogLine {
  return { time: new Date(Date.UTC(2030, 0, 1) + second * 1000).toISOString(), instance, msg, ...fields }
}

const day = [
  line(0, 'fleet: Starting.'),
  line(0.1, 'fleet: A configuration is in force.', { revision: 3 }),
  line(0.2, 'fleet: A configuration is in force.', { revision: 3 }, 'entry-2'),
  line(1.1, 'requests: Ended: answered.', { ms: 40 }),
  line(1.2, 'requests: Ended: answered.', { ms: 60 }),
  line(1.9, 'requests: Ended: answered. (further lines left out)', { leftOut: 23 }),
  line(2.1, 'requests: A try failed.', { kind: 'refused' }),
  line(2.2, 'requests: Ended: failed.', { outcome: 'overloaded', ms: 9 }),
  line(2.3, 'callers: Refused a request.', { code: 'unauthenticated' })
]

describe('DayCounts and the report of a day', () => {
  describe('counts', () => {
    it('include the lines that were written and those that were left out', t => {
      const counts = DayCounts.of(day)
      t.is(counts.seconds.get(1)?.ends[RequestEnd.Answered], 25)
      t.deepEqual(counts.seconds.get(1)?.times, [40, 60])
      t.is(counts.seconds.get(2)?.ends[RequestEnd.Failed], 1)
      t.is(counts.seconds.get(2)?.ends[RequestEnd.Refused], 1)
      t.is(counts.seconds.get(2)?.failedAttempts.get('refused'), 1)
      t.deepEqual([...counts.reasons], [['overloaded', 1], ['unauthenticated', 1]])
    })

    it('list a state change of several instances once, with their number', t => {
      t.deepEqual(DayCounts.of(day).listStateChanges().at(-1), { second: 0, text: 'A configuration is in force. revision=3', instanceCount: 2 })
    })
  })

  describe('command', () => {
    it('writes one file with plots and the number of malformed lines', async t => {
      const folder = await mkdtemp(join(tmpdir(), 'foxtaillever-'))
      const [log, report] = [join(folder, 'a.log'), join(folder, 'day.html')]
      await writeFile(log, [...day.map(entry => JSON.stringify(entry)), 'not a line', ''].join('\n'))
      const { code, out } = await runCommand(['report', 'day', '--to', report, log])
      t.is(code, 0)
      t.regex(out, /9 lines of 1 files/)
      const html = await readFile(report, 'utf8')
      t.is(html.match(/<svg /g)?.length, 4)
      t.regex(html, /1 lines could not be read/)
      t.regex(html, /<td>answered<\/td><td>25<\/td>/)
    })

    it('fails on logs without a line of an instance', async t => {
      const folder = await mkdtemp(join(tmpdir(), 'foxtaillever-'))
      const log = join(folder, 'a.log')
      await writeFile(log, 'nothing\n')
      const { code, err } = await runCommand(['report', 'day', '--to', join(folder, 'day.html'), log])
      t.not(code, 0)
      t.regex(err, /no line/)
    })
  })
})
