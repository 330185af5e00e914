import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SystemClock } from 'foxtaillever-core'
import { connectionShare } from 'foxtaillever-policy/relay/connectionShare'
import { describe, it } from 'foxtaillever-testing'
import { callServer } from '../callServer.js'
import { ServerConnections } from '../serverConnections.js'

const INSTANCES = 5
const MAX_CONNECTIONS = 4
const PATIENCE_MS = 30_000

const call = { method: 'GET', path: '/x', headers: ['Host', 'server'], body: Buffer.alloc(0) }

describe('ServerConnections of many instances', () => {
  // Guards against idle connections that leave no room for other instances' requests.
  it('keep no more idle connections to a server than it accepts', async t => {
    const server = createServer((_, response) => { response.end('done') })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const instances = Array.from({ length: INSTANCES }, () => ServerConnections.create({ address, part: connectionShare(MAX_CONNECTIONS, INSTANCES) }))
    const clock = SystemClock.create()
    const answers = await Promise.all(instances.flatMap(connections => [0, 1].map(async () => await callServer(connections, call, { clock, deadline: clock.now() + PATIENCE_MS, maxBytes: 1000 }))))
    t.true(answers.every(answer => answer.isRight()))
    const until = clock.now() + PATIENCE_MS
    const countOpen = async (): Promise<number> => await new Promise(resolve => server.getConnections((_, count) => resolve(count)))
    while (await countOpen() > MAX_CONNECTIONS && clock.now() < until) {
      await new Promise(resolve => setTimeout(resolve, 5))
    }
    const open = await countOpen()
    // Idle connections time out after four seconds, so they must have been closed before that.
    t.true(open <= MAX_CONNECTIONS && clock.now() < until - PATIENCE_MS + 2000, `${open} open`)
    instances.forEach(connections => connections.close())
    server.close()
  })
})
