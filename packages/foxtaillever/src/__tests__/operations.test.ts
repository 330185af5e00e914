import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createConfiguration, Path, withFleet, type RelayFleet } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import { ServerFault } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { runCommand } from '../__fixtures__/runCommand.js'

const page = new URL('../../../../docs/OPERATIONS.md', import.meta.url).pathname

/** Requests sent at once: more than three engines accept with eight slots and eight queued requests each. */
const CROWD_SIZE = 120

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
