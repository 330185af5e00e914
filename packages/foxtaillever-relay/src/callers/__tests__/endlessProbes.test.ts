import { connect, createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { closesWithin, writeWithoutEnd } from '../../__fixtures__/endlessBytes.js'
import { chunk } from '../../__fixtures__/scriptedServer.js'
import { MetricsServer } from '../../telemetry/metricsServer.js'
import { ReadinessServer } from '../readinessServer.js'

const HOST = '127.0.0.1'

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise<void>(resolve => server.close(() => resolve()))
  return port
}

interface Listener {
  readonly close: () => void
}

const listeners: Readonly<Record<string, (port: number) => Promise<Listener>>> = {
  readiness: async port => {
    const server = ReadinessServer.create(() => true)
    await server.listen(HOST, port)
    return server
  },
  metrics: async port => {
    const server = MetricsServer.create({ render: () => '', dump: () => ({}), quarantines: () => [], liftQuarantine: () => false })
    server.listen({ host: HOST, port }, () => {})
    return server
  }
}

describe('a request without end', () => {
  for (const [name, listen] of Object.entries(listeners)) {
    // Guards against a connection that is read for minutes after its answer was sent.
    it(`closes its connection to the address for ${name}`, async t => {
      const port = await freePort()
      const server = await listen(port)
      const socket = connect(port, HOST).on('error', () => {})
      socket.resume()
      socket.write('POST /metrics HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
      writeWithoutEnd(socket, chunk('x'.repeat(8192)))
      t.true(await closesWithin(socket, CLOSE_MS))
      socket.destroy()
      server.close()
    })
  }
})
