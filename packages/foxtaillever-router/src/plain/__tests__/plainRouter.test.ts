import { createServer, type AddressInfo, type Server } from 'node:net'
import type { ExecutionContext } from 'ava'
import fastify from 'fastify'
import {
  AdministrativeState, emptyConfiguration, PriorityClass, ServerKind, SystemClock,
  type BackendServer, type ClientAccount, type Configuration
} from 'foxtaillever-core'
import { ServiceGate } from 'foxtaillever-policy'
import { describe, it } from 'foxtaillever-testing'
import { noClaims } from '../../core/claimDesk.js'
import { matchCall } from '../matchCall.js'
import { PlainRouter } from '../plainRouter.js'

const account: ClientAccount = { name: 'firm', keyDigests: [], weight: 1, priority: PriorityClass.Priority, tokensPerSecond: 1, concurrentRequests: 1 }

function createPlain (name: string, port: number): BackendServer {
  return {
    name,
    kind: ServerKind.Plain,
    address: `127.0.0.1:${port}`,
    failureDomain: 'sesvete',
    models: [],
    slots: 1,
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    cacheTokens: 0,
    checksFencing: false,
    checksCaller: false,
    state: AdministrativeState.InService
  }
}

function createConfiguration (ports: readonly number[]): Configuration {
  const servers = ports.map((port, index) => createPlain(`plain-${index}`, port))
  return {
    ...emptyConfiguration,
    servers: Object.fromEntries(servers.map(server => [server.name, server])),
    services: {
      records: {
        name: 'records',
        path: '/records',
        servers: servers.map(server => server.name),
        calls: [{ method: 'GET', path: '/citations', idempotent: true }, { method: 'POST', path: '/exports', idempotent: false }],
        concurrentRequests: 8,
        timeoutMs: 2000
      }
    }
  }
}

/** A server that reads the first bytes of a call and then cuts the connection. */
async function startCutting (): Promise<{ server: Server, calls: () => number }> {
  let calls = 0
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      calls += 1
      socket.destroy()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, calls: () => calls }
}

function portOf (server: Server): number {
  return (server.address() as AddressInfo).port
}

/** A port on which nothing listens. */
async function closedPort (): Promise<number> {
  const { server } = await startCutting()
  const port = portOf(server)
  await new Promise(resolve => server.close(resolve))
  return port
}

async function call (t: ExecutionContext, configuration: Configuration, method: 'GET' | 'POST', url: string): Promise<{ status: number, verdict: unknown, body: string }> {
  const clock = SystemClock.create()
  const gate = ServiceGate.create()
  gate.configure(configuration, clock.now())
  const router = PlainRouter.create({ clock, gate, claims: noClaims })
  const front = fastify()
  front.all('/*', async (request, reply) => await router.serve({ request, reply, account, configuration }))
  t.teardown(async () => {
    await front.close()
    await router.close()
  })
  const answer = await front.inject({ method, url })
  return { status: answer.statusCode, verdict: answer.headers['x-verdict'], body: answer.body }
}

async function startWorking (t: ExecutionContext): Promise<{ port: number, calls: () => number }> {
  let calls = 0
  const server = fastify()
  server.all('/*', async () => {
    calls += 1
    return { done: true }
  })
  await server.listen({ host: '127.0.0.1', port: 0 })
  t.teardown(async () => await server.close())
  return { port: (server.server.address() as AddressInfo).port, calls: () => calls }
}

describe('plain services', () => {
  describe('when a backend server cuts the connection after it has read the call', () => {
    it('repeats a lookup at another one', async t => {
      // The server crashed while it worked on a lookup. The associate should
      // see the citation as if nothing had happened.
      const cutting = await startCutting()
      t.teardown(() => { cutting.server.close() })
      const working = await startWorking(t)
      const answer = await call(t, createConfiguration([portOf(cutting.server), working.port]), 'GET', '/records/citations/1')
      t.is(answer.status, 200)
      t.is(cutting.calls(), 1)
    })

    it('never repeats an export, and says that it may have run', async t => {
      // The server crashed while it worked on a billed export. Nobody can know
      // whether it was billed, so a second try might bill the client twice.
      const cutting = await startCutting()
      t.teardown(() => { cutting.server.close() })
      const working = await startWorking(t)
      const answer = await call(t, createConfiguration([portOf(cutting.server), working.port]), 'POST', '/records/exports')
      t.is(answer.status, 502)
      t.is(answer.verdict, 'may_have_run')
      t.is(working.calls(), 0)
    })
  })

  describe('when no connection to a backend server can be made', () => {
    it('sends an export to another one, since no byte of it has left', async t => {
      const working = await startWorking(t)
      const answer = await call(t, createConfiguration([await closedPort(), working.port]), 'POST', '/records/exports')
      t.is(answer.status, 200)
      t.is(working.calls(), 1)
    })

    it('says not run when that was the last one', async t => {
      const answer = await call(t, createConfiguration([await closedPort()]), 'POST', '/records/exports')
      t.is(answer.verdict, 'not_run')
    })
  })

  describe('paths', () => {
    it('does not let an export pass for a lookup by a path that steps upwards', t => {
      // A caller asks for citations/../exports. The service would resolve it
      // to an export, which the router took for a repeatable lookup.
      const configuration = createConfiguration([1])
      for (const url of ['/records/citations/../exports', '/records/citations/%2e%2E/exports', '/records/citations/.%2e/exports']) {
        t.true(matchCall(configuration, 'GET', url).isLeft(), url)
      }
    })

    it('matches whole segments only', t => {
      const configuration = createConfiguration([1])
      t.true(matchCall(configuration, 'GET', '/records/citations/7?full=1').isRight())
      t.true(matchCall(configuration, 'GET', '/records/citationsx').isLeft())
      t.true(matchCall(configuration, 'GET', '/recordsx/citations').isLeft())
    })
  })
})
