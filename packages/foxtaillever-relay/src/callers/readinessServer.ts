/** Answers the load balancer's readiness checks by the status alone; the body is empty. */
import { createServer, type Server } from 'node:http'
import { hasBody } from '../servers/byteBounds.js'
import { Door, ServerGuard } from './serverGuard.js'

const READY_STATUS = 200
const NOT_READY_STATUS = 503

export class ReadinessServer {
  private readonly server: Server

  private constructor (isReady: () => boolean, guard: ServerGuard) {
    this.server = createServer((request, response) => {
      // The body of a request is not read.
      response.shouldKeepAlive &&= !hasBody(request)
      response.writeHead(isReady() ? READY_STATUS : NOT_READY_STATUS)
      response.end()
    })
    guard.protect(this.server, Door.Readiness)
  }

  static create (isReady: () => boolean, guard = ServerGuard.unlimited()): ReadinessServer {
    return new ReadinessServer(isReady, guard)
  }

  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close (): void {
    this.server.close()
  }
}
