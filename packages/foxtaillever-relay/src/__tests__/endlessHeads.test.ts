import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { closesWithin, writeWithoutEnd } from '../__fixtures__/endlessBytes.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { ScriptedServer, wholeAnswer, type Answer } from '../__fixtures__/scriptedServer.js'
import { probeServer } from '../links/serverProbe.js'
import { callServer } from '../servers/callServer.js'
import { ServerConnections } from '../servers/serverConnections.js'

/** Far longer than closing takes, milliseconds of real time. */
const CLOSE_MS = 2000

/** Much later than `CLOSE_MS`, so that only the bound on heads can end a call before, milliseconds. */
const DEADLINE_MS = 20_000

/** More than any answer here has. */
const MAX_BYTES = 10_000

const heads: Readonly<Record<string, string>> = {
  102: 'HTTP/1.1 102 Processing\r\n\r\n',
  100: 'HTTP/1.1 100 Continue\r\n\r\n',
  103: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
}

const call = { method: 'GET', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0) }

describe('informational heads without end', () => {
  for (const [status, head] of Object.entries(heads)) {
    const answerEndlessly: Answer = ({ socket }) => writeWithoutEnd(socket, head.repeat(100))

    // Guards against a connection that is read until the deadline of a request that may run only once.
    it(`of status ${status} end the attempt`, async t => {
      const rig = await RelayRig.start({}, answerEndlessly)
      const answer = rig.sendRequest('a')
      await rig.servers[0]?.arrived(1)
      t.true(await closesWithin(rig.servers[0]?.sockets[0], CLOSE_MS))
      t.regex(await answer, /^HTTP\/1.1 502 /)
      t.true((rig.directory.get('s0')?.health.faultShare(rig.clock.now()) ?? 0) > 0)
      rig.stop()
    })

    // Guards against reports and orders that read heads until their deadline.
    it(`of status ${status} end a call`, async t => {
      const clock = SystemClock.create()
      const server = await ScriptedServer.start(answerEndlessly)
      const answer = callServer(ServerConnections.create({ address: server.address, part: { total: 1, idle: 1 } }), call, { clock, deadline: clock.now() + DEADLINE_MS, maxBytes: MAX_BYTES })
      await server.arrived(1)
      t.true(await closesWithin(server.sockets[0], CLOSE_MS))
      t.true((await answer).isLeft())
      server.stop()
    })

    // Guards against probes that read heads until their deadline.
    it(`of status ${status} end a probe`, async t => {
      const clock = SystemClock.create()
      const server = await ScriptedServer.start(answerEndlessly)
      const isReached = probeServer({ address: server.address, call }, clock, clock.now() + DEADLINE_MS)
      await server.arrived(1)
      t.true(await closesWithin(server.sockets[0], CLOSE_MS))
      t.true(await isReached, 'the link works')
      server.stop()
    })
  }

  // Guards against an answer that is lost because a few heads precede it.
  it('do not include a few before an answer', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(Object.values(heads).join('') + wholeAnswer(arrival, 'done')) })
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 /)
    rig.stop()
  })
})
