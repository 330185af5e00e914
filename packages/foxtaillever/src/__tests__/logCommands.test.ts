import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'foxtaillever-testing'
import { ExitCode } from '../index.js'
import { runCommand } from '../__fixtures__/runCommand.js'

function lineOf (time: string, instance: string, msg: string, fields: object): string {
  return JSON.stringify({ level: 30, time: `2030-01-01T00:00:${time}Z`, instance, ...fields, msg })
}

/** Logs of two instances that learn at different times that a server is draining, and of a request to it that fails. */
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

describe('commands that read logs', () => {
  it('explain one request from the logs of several instances and count malformed lines', async t => {
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

  it('list when each instance logged a state change', async t => {
    const { out } = await runCommand(['timeline', '--about', 'i-1', '--json', ...await writeLogs()])
    const { lines, malformed } = JSON.parse(out) as { lines: Array<{ instance: string }>, malformed: number }
    t.deepEqual(lines.map(({ instance }) => instance), ['one', 'two'])
    t.is(malformed, 3)
  })

  // Log collectors usually write a time and a host name before each line.
  it('accept lines with the prefix of a log collector', async t => {
    const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'collected.log')
    await writeFile(file, `12:00:01 host-7 ${lineOf('01.000', 'one', 'fleet: A configuration is in force.', { revision: 4 })}\n`)
    const { out } = await runCommand(['timeline', '--json', file])
    t.is((JSON.parse(out) as { lines: unknown[] }).lines.length, 1)
  })

  it('need no logs to check a settings file', async t => {
    const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'node.json')
    await writeFile(file, '{"node": 5}')
    const { code, out } = await runCommand(['settings', 'check', file])
    t.is(code, ExitCode.InvalidFile)
    t.true(out.startsWith(`${file}: `) && out.includes('node'))
  })
})
