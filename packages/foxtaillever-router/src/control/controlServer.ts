/**
 * The control port of one entry instance: procedures for operators, procedures
 * for other instances, and the metrics. Callers have no access to this port. It
 * is bound before the services exist, since its number is announced first.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fastifyTRPCPlugin, type FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify'
import fastify, { type FastifyInstance } from 'fastify'
import type { Clock } from 'foxtaillever-core'
import { CONTROL_PATH, controlRouter, createControlContext, type Control, type ControlRouter, type Operators } from 'foxtaillever-control'
import { PEER_PATH, type PeerRouter } from 'foxtaillever-fleet'
import { Door, type ServerGuard } from 'foxtaillever-relay/callers/serverGuard'
import type { Metrics } from '../telemetry/metrics.js'

export interface ControlServices {
  readonly control: Control
  readonly operators: Operators
  readonly metrics: Metrics
  readonly clock: Clock
  /** Procedures that other instances call. */
  readonly peers: PeerRouter
}

/** Enough for ten thousand changes of a few hundred bytes each. */
const BODY_LIMIT_BYTES = 8 * 1024 * 1024

/** Path from which a metrics store reads. */
export const METRICS_PATH = '/metrics'

/** Maximum length of a procedure name, which is part of the path. */
const MAX_PARAMETER_CHARACTERS = 500

export class ControlServer {
  private http: FastifyInstance | undefined

  private constructor (private readonly server: Server) {}

  /** Binds the port; port 0 lets the system choose. */
  static async listen (host: string, port: number, guard: ServerGuard): Promise<ControlServer> {
    const server = createServer()
    guard.protect(server, Door.Peers)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => {
        server.off('error', reject)
        resolve()
      })
    })
    return new ControlServer(server)
  }

  /** IP address and port. */
  address (): string {
    const { address, family, port } = this.server.address() as AddressInfo
    return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
  }

  /** Starts to answer. */
  async serve (services: ControlServices): Promise<void> {
    this.http = createHttp(this.server, services)
    await this.http.ready()
  }

  async close (): Promise<void> {
    await this.http?.close()
    this.server.closeAllConnections()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }
}

function createHttp (server: Server, { control, operators, metrics, clock, peers }: ControlServices): FastifyInstance {
  const http = fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    routerOptions: { maxParamLength: MAX_PARAMETER_CHARACTERS },
    serverFactory: handler => server.on('request', handler)
  })
  http.get(METRICS_PATH, async (_, reply) => {
    const text = await metrics.text()
    return await reply.type(metrics.contentType()).send(text)
  })
  http.register(fastifyTRPCPlugin, {
    prefix: CONTROL_PATH,
    trpcOptions: {
      router: controlRouter,
      createContext: ({ req }) => createControlContext(control, clock, operators, req.headers.authorization)
    }
  } satisfies FastifyTRPCPluginOptions<ControlRouter>)
  http.register(fastifyTRPCPlugin, { prefix: PEER_PATH, trpcOptions: { router: peers } } satisfies FastifyTRPCPluginOptions<PeerRouter>)
  return http
}
