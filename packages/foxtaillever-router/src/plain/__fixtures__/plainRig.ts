/** Calls of plain services over real sockets: the router behind an HTTP server, scripted backend servers and a virtual clock. */
import { PassThrough } from 'node:stream'
import type { ExecutionContext } from 'ava'
import fastify from 'fastify'
import {
  AdministrativeState, emptyConfiguration, PriorityClass, ServerKind,
  type BackendServer, type ClientAccount, type Configuration, type Random
} from 'foxtaillever-core'
import { ScriptedServer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing'
import { noClaims, type Claims } from '../../core/claims.js'
import { PlainRouter } from '../plainRouter.js'

const account: ClientAccount = { name: 'firm', keyDigests: [], weight: 1, priority: PriorityClass.Priority, tokensPerSecond: 1, concurrentRequests: 1 }

/** Selects the first of equal servers. */
const alwaysZero = { next: () => 0 } as unknown as Random

function createPlain (name: string, address: string): BackendServer {
  return {
    name,
    kind: ServerKind.Plain,
    address,
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

export function createConfiguration (addresses: readonly string[], revision = 1): Configuration {
  const servers = addresses.map((address, index) => createPlain(`plain-${index}`, address))
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

/** An address on which nothing listens. */
export async function closedPort (): Promise<string> {
  const server = await ScriptedServer.start(() => {})
  const { address } = server
  server.stop()
  return address
}

/** Bodies of calls that the rig accepts, bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024

/** Time in which a router saves as much of its retry budget as it may, milliseconds. */
const RETRIES_SAVED_MS = 4000

export class PlainRig {
  readonly clock = VirtualClock.create()
  readonly router: PlainRouter
  private address = ''
  private configuration = emptyConfiguration

  private constructor (readonly servers: readonly ScriptedServer[], claims: Claims) {
    const { clock } = this
    const logs = Logs.create({ instance: 'i', level: 'silent', clock, destination: new PassThrough() })
    this.router = PlainRouter.create({ clock, random: alwaysZero, failureDomain: 'sesvete', logs, claims })
  }

  /** Equal servers are selected in the order of the given answers. */
  static async start (t: ExecutionContext, ...answers: Answer[]): Promise<PlainRig> {
    return await PlainRig.startWithClaims(t, noClaims, ...answers)
  }

  /** As `start`, with servers that answer while they are sent a call. */
  static async startEarly (t: ExecutionContext, ...answers: Answer[]): Promise<PlainRig> {
    return await PlainRig.serve(t, noClaims, await Promise.all(answers.map(async answer => await ScriptedServer.start(answer, true))))
  }

  static async startWithClaims (t: ExecutionContext, claims: Claims, ...answers: Answer[]): Promise<PlainRig> {
    return await PlainRig.serve(t, claims, await Promise.all(answers.map(async answer => await ScriptedServer.start(answer))))
  }

  private static async serve (t: ExecutionContext, claims: Claims, servers: readonly ScriptedServer[]): Promise<PlainRig> {
    const rig = new PlainRig(servers, claims)
    rig.configure(createConfiguration(servers.map(({ address }) => address)))
    const front = fastify({ forceCloseConnections: true, bodyLimit: MAX_BODY_BYTES })
    front.addContentTypeParser('application/octet-stream', { parseAs: 'buffer' }, (_, body, done) => { done(null, body) })
    front.all('/*', (request, reply) => { rig.router.serve({ request, reply, account, configuration: rig.configuration }) })
    rig.address = await front.listen({ host: '127.0.0.1', port: 0 })
    await rig.clock.advanceBy(RETRIES_SAVED_MS)
    t.teardown(async () => {
      rig.router.close()
      servers.forEach(server => server.stop())
      await front.close()
    })
    return rig
  }

  /** Number of calls that arrived at each server. */
  get arrivals (): number[] {
    return this.servers.map(({ arrivals }) => arrivals.length)
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.router.configure(configuration)
  }

  /** Rejects when the answer was truncated. */
  async call (method: string, path: string, options: RequestInit = {}): Promise<{ status: number, headers: Headers, body: string }> {
    const answer = await fetch(`${this.address}/records${path}`, { method, ...options })
    return { status: answer.status, headers: answer.headers, body: await answer.text() }
  }
}
