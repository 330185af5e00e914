import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { HOST } from 'foxtaillever-platform/__fixtures__/caller'
import { createConfiguration, Path, withFleet, type RelayFleet } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import { ServerFault } from 'foxtaillever-standins'
import { connectSlowly, describe, it } from 'foxtaillever-testing'
import { runCommand } from '../__fixtures__/runCommand.js'

const page = new URL('../../../../docs/OPERATIONS.md', import.meta.url).pathname

/** Requests sent at once: more than three engines accept with eight slots and eight queued requests each. */
const CROWD_SIZE = 120

/** A stream of so many tokens takes longer than the grace period. */
const LONG_STREAM_TOKENS = 4000

/** Replaces what differs from run to run: times, addresses, counts, and names of instances and zones. */
function normalise (line: string): string {
  return line.replace(/zone-[abc]/g, 'zone-x').replace(/instance-\d/g, 'instance-n').replace(/\d+(\.\d+)?/g, '#').trim()
}

async function explain (fleet: RelayFleet, id: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'foxtaillever-'))
  const files = await Promise.all(fleet.instances.map(async ({ name, lines }) => {
    const file = join(folder, `${name}.log`)
    await writeFile(file, lines.map(line => `${JSON.stringify(line)}\n`).join(''))
    return file
  }))
  return (await runCommand(['explain', id, '--logs', ...files])).out
}

/** By heading of the page: makes one request fail and returns its id. */
const failures: Readonly<Record<string, (fleet: RelayFleet) => Promise<string>>> = {
  'Turned away under load': async fleet => {
    await fleet.waitForRetries()
    const replies = await Promise.all(Array.from({ length: CROWD_SIZE }, async (_, index) => await fleet.stream(index % 3, `crowd-${index}`, `c${index}`, 200)))
    return `crowd-${replies.findIndex(({ status, body }) => status === 503 && body.includes('backend_server_refused'))}`
  },
  'Broken off by a server that went': async fleet => {
    fleet.plain.forEach(server => server.faults.push(ServerFault.Crash))
    await fleet.send(0, { id: 'order-7', path: `${Path.Once}x`, body: 'an order' })
    return 'order-7'
  },
  'Refused after a change of keys': async fleet => {
    fleet.platform.configure(createConfiguration(5, { tenants: [{ name: 'acme', api_keys: ['key-new'] }] }))
    await waitFor('the new keys are in force', async () => (await fleet.send(0, { id: `before-${Math.random()}`, path: `${Path.Once}x` })).status === 401)
    await fleet.send(0, { id: 'late-3', path: `${Path.Once}x` })
    return 'late-3'
  },
  'Cut because no attempt follows': async fleet => {
    const [first, ...others] = fleet.engines
    others.forEach(({ server }) => fleet.platform.drain(server))
    await waitFor('the other engines take nothing', () => others.every(({ server }) => fleet.instances[0]?.lines.some(line => line.server === server.id && line.state === 'draining')))
    first?.server.faults.push(ServerFault.Truncate)
    await fleet.stream(0, 'stream-1', 'one', 200)
    return 'stream-1'
  },
  'Complete here, not at the caller': async fleet => {
    const connection = await connectSlowly(fleet.instances[0]?.address ?? '', async () => await fleet.send(0, { id: 'before', path: `${Path.Once}x` }))
    connection.sendRequest(`${Path.Once}x`, { Host: HOST, 'X-Request-Id': 'order-8', 'X-Deadline-Ms': '60000', Authorization: 'Bearer key-acme' })
    await waitFor('the answer is handed over', () => connection.held > 0 && fleet.instances[0]?.lines.some(({ request, end }) => request === 'order-8' && end === 'answered') === true)
    await fleet.stopAtOnce(0)
    return 'order-8'
  },
  'Ended by the instance': async fleet => {
    const stream = fleet.stream(0, 'stream-2', 'two', LONG_STREAM_TOKENS)
    await waitFor('the stream runs', () => fleet.runsOf('stream-2') === 1)
    await fleet.instances[0]?.relay.stop()
    await stream
    return 'stream-2'
  }
}

/** Returns the lines of the code block under a heading. */
async function readBlock (heading: string): Promise<readonly string[]> {
  const text = await readFile(page, 'utf8')
  const section = text.slice(text.indexOf(`## ${heading}`))
  const block = /```text\n([^`]*)```/.exec(section)?.[1] ?? ''
  return block.split('\n').filter(line => line.trim() !== '')
}

describe('the operations page', () => {
  for (const [heading, causeFailure] of Object.entries(failures)) {
    it(`shows lines that this build prints: ${heading}`, async t => {
      await withFleet(async fleet => {
        const output = await explain(fleet, await causeFailure(fleet))
        const printed = new Set(output.split('\n').map(normalise))
        const block = await readBlock(heading)
        t.true(block.length >= 2)
        const missing = block.filter(line => !printed.has(normalise(line)))
        t.deepEqual(missing, [], `this build prints:\n${output}`)
      })
    })
  }
})
