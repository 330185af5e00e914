/**
 * A caller opens a connection and first uses it seconds later, or an answer
 * that began before a shutdown ends after it. If the shutdown does not close
 * such a connection, the process ends during the caller's next request, and the
 * caller does not know whether it ran.
 */
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { describe, it } from 'foxtaillever-testing'
import { CallerConnections } from '../callerConnections.js'

interface Rig {
  readonly server: Server
  readonly connections: CallerConnections
  readonly open: () => Promise<Socket>
  readonly nextRequest: () => Promise<ServerResponse>
}

async function createRig (): Promise<Rig> {
  const server = createServer()
  const connections = CallerConnections.create(server)
  server.on('request', (request, response) => connections.trackRequest(request.socket, response))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  return {
    server,
    connections,
    open: async () => {
      const accepted = once(server, 'connection')
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      await accepted
      return socket
    },
    nextRequest: async () => (await once(server, 'request'))[1] as ServerResponse
  }
}

const HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

describe('CallerConnections', () => {
  it('closes a connection that was never used', async t => {
    const { server, connections, open } = await createRig()
    const socket = await open()
    server.close()
    connections.close()
    socket.resume()
    await once(socket, 'close')
    t.pass()
  })

  it('closes a connection after an answer that had already begun, and not earlier', async t => {
    const { server, connections, open, nextRequest } = await createRig()
    const socket = await open()
    const chunks: Buffer[] = []
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    const received = nextRequest()
    socket.write(HEAD)
    const response = await received
    response.writeHead(200, { 'Content-Length': '4' })
    response.write('ab')
    server.close()
    connections.close()
    response.end('cd')
    await once(socket, 'close')
    t.true(Buffer.concat(chunks).toString().endsWith('abcd'))
  })

  it('closes a connection whose last answer is complete', async t => {
    const { server, connections, open, nextRequest } = await createRig()
    const socket = await open()
    const received = nextRequest()
    socket.write(HEAD)
    const response = await received
    const closed = once(response, 'close')
    response.end('x')
    await Promise.all([closed, once(socket, 'data')])
    server.close()
    connections.close()
    await once(socket, 'close')
    t.pass()
  })
})
