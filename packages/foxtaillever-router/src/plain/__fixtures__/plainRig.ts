/** Calls of plain services between real sockets: the router behind an HTTP front, scripted backend servers, time moved by hand. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import type { ExecutionContext } from 'ava'
import fastify from 'fastify'
import {
  AdministrativeState, emptyConfiguration, PriorityClass, ServerKind,
  type BackendServer, type ClientAccount, type Configuration, type Random
} from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing'
import { noClaims, type Claims } from '../../core/claimDesk.js'
import { PlainRouter } from '../plainRouter.js'

const account: ClientAccount = { name: 'firm', keyDigests: [], weight: 1, priority: PriorityClass.Priority, tokensPerSecond: 1, concurrentRequests: 1 }

/** Among equal servers the first one is chosen. */
const first = { next: () => 0 } as unknown as Random

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

export function createConfiguration (ports: readonly number[], revision = 1): Configuration {
  const servers = ports.map((port, index) => createPlain(`plain-${index}`, port))
  return {
    ...emptyConfiguration,
    revision,
    servers: Object.fromEntries(servers.map(server => [server.name, server])),
    services: {
      records: {
        name: 'records',
        path: '/records',
        servers: servers.map(server => server.name),
        calls: [
          { method: 'GET', path: '/citations', idempotent: true },
          { method: 'HEAD', path: '/citations', idempotent: true },
          { method: 'POST', path: '/exports', idempotent: false }
        ],
        concurrentRequests: 8,
        timeoutMs: 2000
      }
    }
  }
}

export interface Scripted {
  readonly port: number
  /** Connections on which a call has arrived, each time one does. */
  readonly calls: Socket[]
  /** Heads of the calls. */
  readonly heads: string[]
}

export function portOf (server: Server): number {
  return (server.address() as AddressInfo).port
}

/** A server that answers each call, byte for byte, as a test says. */
export async function startScripted (t: ExecutionContext, answer: (socket: Socket, call: number) => void): Promise<Scripted> {
  const calls: Socket[] = []
  const heads: string[] = []
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      heads.push(bytes.toString('latin1'))
      answer(socket, calls.push(socket) - 1)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    sockets.forEach(socket => socket.destroy())
    server.close()
  })
  return { port: portOf(server), calls, heads }
}

export function whole (body: string, status = '200 OK', ...headers: string[]): string {
  return [`HTTP/1.1 ${status}`, `content-length: ${body.length}`, ...headers, '', body].join('\r\n')
}

/** A port on which nothing listens. */
export async function closedPort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const port = portOf(server)
  await new Promise(resolve => server.close(resolve))
  return port
}

export class PlainRig {
  readonly clock = VirtualClock.create()
  readonly router: PlainRouter
  private address = ''

  private constructor (private configuration: Configuration, claims: Claims) {
    const { clock } = this
    const logs = Logs.create({ instance: 'i', level: 'silent', clock, destination: new PassThrough() })
    this.router = PlainRouter.create({ clock, random: first, failureDomain: 'sesvete', logs, claims })
    this.configure(configuration)
  }

  static async start (t: ExecutionContext, ports: readonly number[], claims = noClaims): Promise<PlainRig> {
    const rig = new PlainRig(createConfiguration(ports), claims)
    const front = fastify({ forceCloseConnections: true })
    front.all('/*', (request, reply) => { rig.router.serve({ request, reply, account, configuration: rig.configuration }) })
    rig.address = await front.listen({ host: '127.0.0.1', port: 0 })
    t.teardown(async () => {
      rig.router.close()
      await front.close()
    })
    return rig
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.router.configure(configuration)
  }

  /** Rejects when the answer was cut. */
  async call (method: string, path: string, options: RequestInit = {}): Promise<{ status: number, headers: Headers, body: string }> {
    const answer = await fetch(`${this.address}/records${path}`, { method, ...options })
    return { status: answer.status, headers: answer.headers, body: await answer.text() }
  }
}
