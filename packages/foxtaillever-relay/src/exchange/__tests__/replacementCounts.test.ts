/** What replacements of silent servers count against the limits of servers and of the exchange. */
import { setTimeout as wait } from 'node:timers/promises'
import { LimitOutcome } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../../__fixtures__/relayRig.js'
import { streamHead, wholeAnswer, type Answer, type Arrival } from '../../__fixtures__/scriptedServer.js'
import { event, LAST_CHUNK, SILENCE_MS, SilentStream } from '../../__fixtures__/silentStream.js'
import { AttemptFailureKind } from '../../attempts/attemptFailure.js'
import type { LimitResult } from '../../limits/limitProtocol.js'
import { failureHeaders, readReportedFailure } from '../../links/forwardingMessage.js'
import { LimitStatementKind } from '../../model/limitStatement.js'
import { Repeatability } from '../../model/routing.js'

/** Time for what arrives within a moment on loopback, milliseconds. */
const ARRIVAL_MS = 100

/** Servers that may reject one exchange. */
const MAX_REJECTIONS = 3

const refuse: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) }

function sendHead (arrival: Arrival): void {
  arrival.socket.write(streamHead(arrival))
}

describe('a stream whose server pauses several times', () => {
  // Guards against pauses that each allow one more rejection.
  it('is rejected by three servers at most', async t => {
    const silent = await SilentStream.begin(refuse, refuse, refuse, refuse, refuse)
    await silent.rig.servers[3]?.arrived(1)
    await silent.rig.clock.advanceBy(SILENCE_MS)
    await wait(ARRIVAL_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    t.deepEqual(await silent.end(), ['1', '2'])
    t.is(silent.rig.arrivals - 1, MAX_REJECTIONS)
  })
})

describe('a replacement that is cancelled before it has a connection', () => {
  // Guards against a limit of a server that counts requests which never reached it.
  it('does not count against the limit of its server', async t => {
    const silent = await SilentStream.begin()
    await silent.rig.addServer(sendHead)
    const server = silent.rig.directory.get('s1')
    if (server) {
      silent.rig.limits.applyStatement(server, { limit: { kind: LimitStatementKind.Limit, perSecond: 50 }, hasRun: true }, silent.rig.clock.now())
    }
    let [claims, refunds] = [0, 0]
    let grant = (): void => {}
    silent.rig.limitProtocol = {
      claim: (_: unknown, onResult: (result: LimitResult) => void) => {
        claims += 1
        grant = () => onResult({ outcome: LimitOutcome.Granted } as LimitResult)
      },
      refund: () => { refunds += 1 }
    }
    await silent.rig.clock.advanceBy(SILENCE_MS)
    silent.send(0, event(2) + LAST_CHUNK)
    grant()
    await silent.end()
    t.deepEqual({ claims, refunds, arrivals: silent.rig.servers[1]?.arrivals.length }, { claims: 1, refunds: 1, arrivals: 0 })
  })
})

describe('a replaced attempt that did not reach its server', () => {
  // Guards against giving back the share of a limit that the replacement uses.
  it('leaves the count of its replacement', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, () => {})
    const { pathTo } = rig
    rig.pathTo = (server, need) => server.listed.id === 's0' ? { channel: server.connections, forwarder: 'f', readFailure: readReportedFailure } : pathTo(server, need)
    const server = rig.directory.get('s1')
    if (server) {
      rig.limits.applyStatement(server, { limit: { kind: LimitStatementKind.Limit, perSecond: 50 }, hasRun: true }, rig.clock.now())
    }
    let [claims, refunds] = [0, 0]
    rig.limitProtocol = {
      claim: (_: unknown, onResult: (result: LimitResult) => void) => {
        claims += 1
        onResult({ outcome: LimitOutcome.Granted } as LimitResult)
      },
      refund: () => { refunds += 1 }
    }
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(SILENCE_MS)
    await rig.servers[1]?.arrived(1)
    const [name = '', value = ''] = failureHeaders({ kind: AttemptFailureKind.Unreachable, detail: '' })
    rig.servers[0]?.arrivals[0]?.socket.write(`HTTP/1.1 502 Bad Gateway\r\n${name}: ${value}\r\ncontent-length: 0\r\n\r\n`)
    await wait(ARRIVAL_MS)
    rig.servers[1]?.arrivals.forEach(arrival => arrival.socket.write(wholeAnswer(arrival, 'ok')))
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
    t.deepEqual({ claims, refunds }, { claims: 1, refunds: 0 })
  })
})
