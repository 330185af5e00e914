/**
 * The control port of one entry instance: procedures for operators, procedures
 * for other instances, and the metrics. Callers have no way to this port.
 */
import { fastifyTRPCPlugin, type FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify'
import fastify, { type FastifyInstance } from 'fastify'
import type { Clock } from 'foxtaillever-core'
import { CONTROL_PATH, controlRouter, createControlContext, type Control, type ControlRouter, type Operators } from 'foxtaillever-control'
import { PEER_PATH, type PeerRouter } from 'foxtaillever-fleet'
import type { Metrics } from '../telemetry/metrics.js'

export interface ControlServerOptions {
  readonly control: Control
  readonly operators: Operators
  readonly metrics: Metrics
  readonly clock: Clock
  /** Procedures that other instances call; none for an instance alone. */
  readonly peers?: PeerRouter
}

/** Ten thousand changes of a few hundred bytes fit. */
const BODY_LIMIT_BYTES = 8 * 1024 * 1024

/** Path below which a metrics store reads. */
export const METRICS_PATH = '/metrics'

/** Names of procedures stand in the path; none is longer. */
const PARAMETER_CHARACTERS = 500

export function createControlServer ({ control, operators, metrics, clock, peers }: ControlServerOptions): FastifyInstance {
  const http = fastify({ bodyLimit: BODY_LIMIT_BYTES, routerOptions: { maxParamLength: PARAMETER_CHARACTERS } })
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
  if (peers) {
    http.register(fastifyTRPCPlugin, { prefix: PEER_PATH, trpcOptions: { router: peers } } satisfies FastifyTRPCPluginOptions<PeerRouter>)
  }
  return http
}
