import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'foxtaillever-testing'
import { ExitCode } from '../index.js'
import { runCommand } from '../__fixtures__/runCommand.js'

function lineOf (time: string, instance: string, msg: string, fields: object): string {
  return JSON.stringify({ level: 30, time: `2030-01-01T00:00:${time}Z`, instance, ...fields, msg })
}

/** Two instances; a server drains, and a request fails at the one that hears of it late. */
async function writeLogs (): Promise<readonly string[]> {
  const folder = await mkdtemp(join(tmpdir(), 'foxtaillever-'))
  const files = [join(folder, 'one.log'), join(folder, 'two.log')]
  await writeFile(files[0] ?? '', [
    lineOf('01.000', 'one', 'fleet: A configuration is in force.', { revision: 4 }),
    lineOf('09.000', 'one', 'fleet: A backend server changed its state.', { server: 'i-1', state: 'draining' }),
    lineOf('10.000', 'one', 'requests: A try failed.', { request: 'r1', server: 'i-1', kind: 'lost' }),
    lineOf('10.500', 'one', 'requests: Ended: failed.', { request: 'r1', outcome: 'connection-lost', verdict: 'may-have-run', ms: 700 }),
    'Segmentation fault', '{"half": ', 'null', ''
  ].join('\n'))
  await writeFile(files[1] ?? '', lineOf('09.700', 'two', 'fleet: A backend server changed its state.', { server: 'i-1', state: 'draining' }))
  return files
}

describe('logs', () => {
  it('of many instances tell the story of one request, malformed lines counted', async t => {
    const { code, out } = await runCommand(['explain', 'r1', '--logs', ...await writeLogs()])
    t.is(code, ExitCode.Done)
    t.is(out, [
      '2030-01-01T00:00:09.000Z  one  fleet: A backend server changed its state. server=i-1 state=draining',
      '2030-01-01T00:00:10.000Z  one  requests: A try failed. request=r1 server=i-1 kind=lost',
      '2030-01-01T00:00:10.500Z  one  requests: Ended: failed. request=r1 outcome=connection-lost verdict=may-have-run ms=700',
      '3 lines could not be read.', ''
    ].join('\n'))
    t.is((await runCommand(['explain', 'r2', '--logs', ...await writeLogs()])).code, ExitCode.Different)
  })

  it('tell since when each instance believed something', async t => {
    const { out } = await runCommand(['timeline', '--about', 'i-1', '--json', ...await writeLogs()])
    const { lines, malformed } = JSON.parse(out) as { lines: Array<{ instance: string }>, malformed: number }
    t.deepEqual(lines.map(({ instance }) => instance), ['one', 'two'])
    t.is(malformed, 3)
  })

  // Logs usually come through a collector, which writes a time and a host before each line.
  it('may have a prefix of whoever collected them', async t => {
    const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'collected.log')
    await writeFile(file, `12:00:01 host-7 ${lineOf('01.000', 'one', 'fleet: A configuration is in force.', { revision: 4 })}\n`)
    const { out } = await runCommand(['timeline', '--json', file])
    t.is((JSON.parse(out) as { lines: unknown[] }).lines.length, 1)
  })

  it('are not needed to check a settings file', async t => {
    const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'node.json')
    await writeFile(file, '{"node": 5}')
    const { code, out } = await runCommand(['settings', 'check', file])
    t.is(code, ExitCode.InvalidFile)
    t.true(out.startsWith(`${file}: `) && out.includes('node'))
  })
})
