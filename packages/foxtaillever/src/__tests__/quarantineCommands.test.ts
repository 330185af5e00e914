import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { ExitCode } from '../index.js'
import { runCommand } from '../__fixtures__/runCommand.js'

/** Runs `test` against the operators' address of an instance that quarantines one level. */
async function withInstance (test: (address: string) => Promise<void>): Promise<void> {
  const quarantines = [{ kind: 'level', id: '91bd3f06', account: 'acme', servers: [1, 2, 3] }]
  const server = createServer(({ method, url }, response) => {
    const isLifted = method === 'DELETE' && url === '/quarantines/91bd3f06'
    response.end(JSON.stringify(method === 'GET' ? quarantines : { isLifted }))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  try {
    await test(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    server.close()
  }
}

describe('quarantine commands', () => {
  it('list what is refused', async t => {
    await withInstance(async address => {
      const { code, out } = await runCommand(['quarantine', 'list', address], {})
      t.is(code, ExitCode.Done)
      t.is(out, 'level 91bd3f06: crashed 3 servers, refused for acme\n')
    })
  })

  it('lift a level, and say when there is none', async t => {
    await withInstance(async address => {
      t.is((await runCommand(['quarantine', 'lift', address, '91bd3f06'], {})).code, ExitCode.Done)
      t.is((await runCommand(['quarantine', 'lift', address, 'other'], {})).code, ExitCode.Different)
    })
    t.is((await runCommand(['quarantine', 'list', '127.0.0.1:1'], {})).code, ExitCode.Unreachable)
  })
})
