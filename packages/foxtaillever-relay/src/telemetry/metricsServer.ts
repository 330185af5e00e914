/** HTTP server for operators: metrics as text, a dump of the state, and the quarantines, which they can lift. */
import { createServer, type Server } from 'node:http'
import { Maybe } from 'purify-ts'
import { Door, ServerGuard } from '../callers/serverGuard.js'
import type { ListenAddress } from '../relayOptions.js'
import { hasBody } from '../servers/byteBounds.js'

const METRICS_PATH = '/metrics'
const STATE_PATH = '/state'
const QUARANTINES_PATH = '/quarantines'

export interface MetricsSource {
  readonly render: () => string
  readonly dump: () => object
  readonly quarantines: () => object
  /** Lifts the quarantine of a level of prompts, or of a request, at all instances; returns whether there is one. */
  readonly liftQuarantine: (id: string) => boolean
}

/** Undefined for an invalid escape sequence, for which `decodeURIComponent` throws. */
function decodeText (escaped: string): string | undefined {
  return Maybe.encase(() => decodeURIComponent(escaped)).extract()
}

export class MetricsServer {
  private readonly server: Server

  private constructor ({ render, dump, quarantines, liftQuarantine }: MetricsSource, guard: ServerGuard) {
    const format = (value: object): string => JSON.stringify(value, undefined, 2)
    const answers: Readonly<Record<string, () => string>> = {
      [`GET ${METRICS_PATH}`]: render,
      [`GET ${STATE_PATH}`]: () => format(dump()),
      [`GET ${QUARANTINES_PATH}`]: () => format(quarantines())
    }
    this.server = createServer((request, response) => {
      const { method = '', url = '' } = request
      // The body of a request is not read.
      response.shouldKeepAlive &&= !hasBody(request)
      const id = method === 'DELETE' && url.startsWith(`${QUARANTINES_PATH}/`) ? decodeText(url.slice(QUARANTINES_PATH.length + 1)) : undefined
      const answer = id === undefined ? answers[`${method} ${url}`]?.() : format({ id, isLifted: liftQuarantine(id) })
      response.writeHead(answer === undefined ? 404 : 200, { 'Content-Type': 'text/plain; charset=utf-8' })
      response.end(answer ?? `${METRICS_PATH}, ${STATE_PATH} or ${QUARANTINES_PATH}\n`)
    })
    guard.protect(this.server, Door.Metrics)
  }

  static create (source: MetricsSource, guard = ServerGuard.unlimited()): MetricsServer {
    return new MetricsServer(source, guard)
  }

  /** The relay works without metrics too, so an address in use is only reported. */
  listen ({ host, port }: ListenAddress, onFailed: (reason: string) => void): void {
    this.server.on('error', ({ message }) => onFailed(message))
    this.server.listen(port, host)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
