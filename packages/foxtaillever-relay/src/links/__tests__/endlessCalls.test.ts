import { connect, type Socket } from 'node:net'
import { describe, it } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from '../../__fixtures__/endlessBytes.js'
import { chunk } from '../../__fixtures__/scriptedServer.js'
import { AttemptFailureKind } from '../../attempts/attemptFailure.js'
import { answerLeaseCall, createProxiedLog } from '../../peers/leaseCalls.js'
import { callServer } from '../../servers/callServer.js'
import { ServerConnections } from '../../servers/serverConnections.js'
import type { FenceLog } from '../../weights/fenceLog.js'
import { forwardingHeaders } from '../forwardingMessage.js'
import { answerWell, causes, ForwardingRig, OWN_HOST } from '../__fixtures__/forwardingRig.js'

/** Far longer than closing takes, milliseconds. */
const CLOSE_MS = 2000

/** A call of another instance whose body does not end. */
function callWithoutEnd ({ address, server }: ForwardingRig, path: string, isForwarded: boolean): Socket {
  const [host, port] = address.split(':')
  const headers = isForwarded ? forwardingHeaders({ server: server.hash, from: `${OWN_HOST}:7340`, requestId: 'r1', causes }) : []
  const socket = connect(Number(port), host).on('error', () => {})
  socket.resume()
  socket.write(`POST ${path} HTTP/1.1\r\nHost: peer\r\nTransfer-Encoding: chunked\r\n${headers.length > 0 ? `${headers.join(': ')}\r\n` : ''}\r\n`)
  return socket
}

describe('bytes without end between instances', () => {
  const calls: Readonly<Record<string, { readonly path: string, readonly isForwarded: boolean, readonly prepare: (rig: ForwardingRig) => void }>> = {
    'a request that is carried': { path: '/p', isForwarded: true, prepare: () => {} },
    'a request that is refused': { path: '/p', isForwarded: true, prepare: rig => { rig.members.clear() } },
    'a probe': { path: '/probe?server=1', isForwarded: false, prepare: () => {} },
    'another call': { path: '/records/servers', isForwarded: false, prepare: () => {} }
  }
  for (const [name, { path, isForwarded, prepare }] of Object.entries(calls)) {
    // Guards against calls whose bodies are read for as long as they come.
    it(`close the connection of ${name}`, async t => {
      const rig: ForwardingRig = await ForwardingRig.start(answerWell, (request, response) => { rig.carrying.handle(request, response) || response.writeHead(404).end() })
      prepare(rig)
      const socket = callWithoutEnd(rig, path, isForwarded)
      writeWithoutEnd(socket, chunk('x'.repeat(8192)))
      t.true(await closesWithin(socket, CLOSE_MS))
      t.deepEqual(rig.excesses, ['instance bytes'])
      rig.stop()
    })
  }

  // Guards against a carried request that keeps its place at the carrying instance without ever being complete.
  it('close the connection of a request that does not get complete in time', async t => {
    const rig: ForwardingRig = await ForwardingRig.start(answerWell)
    const socket = callWithoutEnd(rig, '/p', true)
    socket.write(chunk('x'))
    t.true(await closesWithin(socket, 2 * CLOSE_MS))
    t.deepEqual(rig.excesses, ['instance time'])
    rig.stop()
  })

  // Guards against an instance that reads on for another one what a server sends after a refusal.
  it('end at the carrying instance if a server sends them after a refusal', async t => {
    const rig = await ForwardingRig.start(({ id, socket }) => {
      socket.write(headWithoutEnd('503 Full', [`request-id: ${id}`, 'not-run: 1']))
      writeWithoutEnd(socket, pieceOf(Framing.Chunked))
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Refused)
    t.true(await closesWithin(rig.scripted.sockets[0], CLOSE_MS))
    t.true(rig.server.health.faultShare(rig.clock.now()) > 0)
    rig.stop()
  })

  // Guards against an instance that reads what another one sends after a reported failure.
  it('end at the asking instance if the carrying instance sends them, which is passed over', async t => {
    const sockets: Socket[] = []
    const rig: ForwardingRig = await ForwardingRig.start(answerWell, (request, response) => {
      sockets.push(request.socket)
      request.socket.on('error', () => {})
      request.socket.write(headWithoutEnd('502 Failed', ['foxtaillever-result: kind=unreachable&detail=none']))
      writeWithoutEnd(request.socket, pieceOf(Framing.Chunked))
    })
    t.is((await rig.send('r1')).failure?.kind, AttemptFailureKind.Unreachable)
    t.true(await closesWithin(sockets[0], CLOSE_MS))
    t.false(rig.client.isAvailable)
    rig.stop()
  })

  // Guards against a call about the lease whose record is lost because its body is bounded.
  it('are not the record of a lease', async t => {
    const records: Buffer[] = []
    const log: FenceLog = {
      append: async (_topic, at, record) => Right({ isAppended: true, end: records.push(record) + at }),
      readAt: async () => Right(undefined)
    }
    const rig: ForwardingRig = await ForwardingRig.start(answerWell, (request, response) => {
      rig.carrying.handle(request, response) || answerLeaseCall(log, 'lease', request, new URL(request.url ?? '', 'http://peer').searchParams, response).catch(() => response.destroy())
    })
    const connections = ServerConnections.create({ address: rig.address, part: { total: 1, idle: 1 } })
    const proxied = createProxiedLog(async call => await callServer(connections, call, { clock: rig.clock, deadline: rig.clock.now() + CLOSE_MS, maxBytes: 1000 }))
    t.true((await proxied.append('', 0, Buffer.from('holder'))).isRight())
    t.deepEqual(records.map(String), ['holder'])
    connections.close()
    rig.stop()
  })
})
