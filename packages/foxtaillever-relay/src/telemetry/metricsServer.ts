/** HTTP server for operators: metrics as text, and a dump of the state. */
import { createServer, type Server } from 'node:http'
import type { ListenAddress } from '../relayOptions.js'

const METRICS_PATH = '/metrics'
const STATE_PATH = '/state'

export interface MetricsSource {
  readonly render: () => string
  readonly dump: () => object
}

export class MetricsServer {
  private readonly server: Server

  private constructor ({ render, dump }: MetricsSource) {
    const answers: Readonly<Record<string, () => string>> = { [METRICS_PATH]: render, [STATE_PATH]: () => JSON.stringify(dump(), undefined, 2) }
    this.server = createServer((request, response) => {
      const answer = answers[request.url ?? '']
      response.writeHead(answer ? 200 : 404, { 'Content-Type': 'text/plain; charset=utf-8' })
      response.end(answer?.() ?? `${METRICS_PATH} or ${STATE_PATH}\n`)
    })
  }

  static create (source: MetricsSource): MetricsServer {
    return new MetricsServer(source)
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
