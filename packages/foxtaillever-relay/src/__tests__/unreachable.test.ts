/**
 * A backend server accepts no connections any more. Its entry in the store stays
 * for seconds, and until one of its own requests has failed, each of many
 * instances would send requests there.
 */
import { PassThrough } from 'node:stream'
import { SeededRandom } from 'foxtaillever-core'
import { noLoad } from 'foxtaillever-policy/relay/serverLoad'
import { Logs } from 'foxtaillever-telemetry'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { RelayRig, serverWire } from '../__fixtures__/relayRig.js'
import type { Arrival } from '../__fixtures__/scriptedServer.js'
import { noCacheStores } from '../cache/cacheStoreTracker.js'
import { noCrashes } from '../crashes/crashProtocol.js'
import { ExchangeDispatcher } from '../exchange/exchangeDispatcher.js'
import { directPaths } from '../links/serverPaths.js'
import { ServerState } from '../model/listedServer.js'
import { noQuotas } from '../limits/accountQuotas.js'
import { noAdmissionProtocol } from '../admission/admissionProtocol.js'
import { noSharedLimits } from '../limits/limitProtocol.js'
import { noStreamVersions } from '../streams/streamVersions.js'
import { RelayLog } from '../telemetry/relayLog.js'

function answerWell ({ id, socket }: Arrival): void {
  socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`)
}

function createDispatcher (clock: VirtualClock, logLines: string[]): ExchangeDispatcher {
  const destination = new PassThrough().on('data', line => { logLines.push(String(line)) })
  return ExchangeDispatcher.create({
    ...noCacheStores,
    clock,
    paths: directPaths,
    random: SeededRandom.create(1),
    failureDomain: 'd',
    connectTimeoutMs: 200,
    endsAt: () => Infinity,
    wire: serverWire,
    log: RelayLog.create(Logs.create({ instance: 'i', level: 'info', clock, destination })),
    retryAllowance: { ratio: 0.2, slack: 10, windowMs: 10_000 },
    knownInstances: () => 1,
    crashes: noCrashes,
    quota: noQuotas,
    streamVersions: noStreamVersions,
    fleetLoad: { of: () => noLoad },
    weights: { outdatedSince: () => undefined },
    weightsBoundMs: Infinity,
    serverHeartbeatMs: 1000,
    routing: () => undefined,
    queryLoad: () => undefined,
    onLoadChanged: () => {},
    onSpeedSample: () => {},
    onSaved: () => {},
    onUnreachable: () => {},
    onBackoffRequested: () => {},
    limitProtocol: () => noSharedLimits,
    admissionProtocol: () => noAdmissionProtocol,
    onLimitChanged: () => {},
    onServerChanged: () => {},
    onMisdirected: () => {}
  })
}

describe('a server that accepts no connection', () => {
  it('is reported at once and skipped by the next request', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    rig.servers[0]?.stop()
    t.true((await rig.sendRequest('one')).endsWith('ok'))
    t.deepEqual(rig.unreachable, ['s0'])
    t.true((rig.directory.get('s0')?.unreachableUntil ?? 0) > rig.clock.now())
    t.is(rig.directory.get('s1')?.unreachableUntil, 0)
    rig.stop()
  })

  it('is skipped when other instances could not reach it, and logged once each time', async t => {
    const clock = VirtualClock.create()
    const logLines: string[] = []
    const dispatcher = createDispatcher(clock, logLines)
    dispatcher.directory.applyEntry({ id: 'unreachable', startedAt: 0, service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }, 1)
    const unreachable = dispatcher.directory.get('unreachable')
    dispatcher.reportHandlers.onUnreachable(unreachable?.hash ?? 0)
    dispatcher.reportHandlers.onUnreachable(unreachable?.hash ?? 0)
    dispatcher.reportHandlers.onUnreachable(4711)
    t.true((unreachable?.unreachableUntil ?? 0) > clock.now())
    await new Promise(resolve => setImmediate(resolve))
    t.is(logLines.join('').split('could not reach').length - 1, 1)
  })
})
