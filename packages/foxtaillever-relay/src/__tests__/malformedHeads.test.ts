/** What callers get if the head of a backend server's answer is no final answer in HTTP. */
import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { answerWell, repeatableKinds, routeKinds } from '../__fixtures__/routeKinds.js'
import { chunk, ScriptedServer, streamHead, wholeAnswer, type Answer, type Arrival } from '../__fixtures__/scriptedServer.js'
import { callServer } from '../servers/callServer.js'
import { ServerConnections } from '../servers/serverConnections.js'

/** Long enough for an exchange over loopback on a busy machine, far below the deadline of the requests, milliseconds. */
const AT_ONCE_MS = 5000

interface Head {
  readonly status: string
  readonly headers?: readonly string[]
}

const malformed: readonly Head[] = [
  ...['000', '001', '010', '099', '101', '600', '700', '999'].map(status => ({ status })),
  { status: '101', headers: ['connection: upgrade', 'upgrade: other'] }
]

function describeHead ({ status, headers }: Head): string {
  return headers ? `${status}, ${headers.join(', ')}` : status
}

async function atOnce (answer: Promise<string>): Promise<string> {
  const timeout = new Promise<string>(resolve => { setTimeout(resolve, AT_ONCE_MS, 'no answer').unref() })
  return await Promise.race([answer, timeout])
}

function answerWith ({ status, headers = [] }: Head): Answer {
  return arrival => { arrival.socket.write(wholeAnswer(arrival, 'odd', `${status} Odd`, ...headers)) }
}

describe('a server whose answer has a status that is none of a final answer', () => {
  for (const [name, route] of Object.entries(routeKinds)) {
    for (const head of malformed) {
      // Guards against a request that has run, and which is answered as not run or with the malformed answer.
      it(`costs its caller that attempt only: ${name}, ${describeHead(head)}`, async t => {
        const rig = await RelayRig.start(route, answerWith(head), answerWell(route.isStream === true))
        t.regex(await atOnce(rig.sendRequest('a')), repeatableKinds.has(name) ? /^HTTP\/1.1 200 [^]*well/ : /^HTTP\/1.1 502 [^]*stream_broken[^]*may_have_run/)
        t.is(rig.runs.size, 0)
        t.true(rig.directory.all().every(({ outstanding }) => outstanding === 0))
        rig.stop()
      })
    }
  }

  // Guards against statements of a server that are believed although the bytes that carry them are no answer.
  it('states nothing of itself', async t => {
    const rig = await RelayRig.start({}, answerWith({ status: '000', headers: ['server: s0', 'limit: 0'] }))
    await atOnce(rig.sendRequest('a'))
    const [server] = rig.directory.all()
    t.is(server && rig.limits.limitOf(server), undefined)
    rig.stop()
  })

  // Guards against a strict check that takes valid but rare answers from callers.
  it('is told from one with a rare status', async t => {
    for (const status of ['200', '203', '207', '226', '299', '300', '399', '400', '418', '451', '499', '500', '511', '599']) {
      const rig = await RelayRig.start({}, answerWith({ status }))
      t.is((await atOnce(rig.sendRequest('a'))).slice(9, 12), status)
      rig.stop()
    }
  })

  // Guards against informational heads that are taken for the answer, or that end it.
  it('is told from one that precedes its answer with informational heads', async t => {
    const rig = await RelayRig.start({}, (arrival: Arrival) => { arrival.socket.write(`HTTP/1.1 102 Working\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n${wholeAnswer(arrival, 'well')}`) })
    t.regex(await atOnce(rig.sendRequest('a')), /^HTTP\/1.1 200 [^]*well$/)
    rig.stop()
  })

  // Guards against a stream that continues with the answer of a server that did not resume it.
  it('ends no stream that another server began', async t => {
    const rig = await RelayRig.start({ isStream: true, isResumable: true, mostAttempts: 3 },
      arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n')),
      answerWith({ status: '700' }),
      arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 2\n\n') + '0\r\n\r\n'))
    t.regex(await atOnce(rig.sendRequest('a')), /id: 1\n\n[^]*id: 2\n\n[^]*0\r\n\r\n$/)
    rig.stop()
  })
})

describe('a call of this process whose answer has a status that is none of a final answer', () => {
  for (const head of malformed) {
    // Guards against reports, orders and health checks that wait for good, or believe bytes that are no answer.
    it(`fails at once: ${describeHead(head)}`, async t => {
      const server = await ScriptedServer.start(answerWith(head))
      const connections = ServerConnections.create({ address: server.address, part: { total: 1, idle: 1 } })
      const clock = SystemClock.create()
      const call = { method: 'GET', path: '/report', headers: ['host', 'h'], body: Buffer.alloc(0) }
      const answer = callServer(connections, call, { clock, deadline: clock.now() + 2 * AT_ONCE_MS, maxBytes: 1000 })
      t.is(await atOnce(answer.then(result => result.caseOf({ Left: ({ verdict }) => verdict, Right: ({ status }) => `status ${status}` }))), 'may_have_run')
      connections.close()
      server.stop()
    })
  }
})
