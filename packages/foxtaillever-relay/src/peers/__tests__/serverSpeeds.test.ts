import { hashNumber } from 'foxtaillever-core'
import { watchersOf } from 'foxtaillever-policy/relay/computedWatchers'
import { describe, it } from 'foxtaillever-testing'
import { LoadProtocolFleet, type LoadPeer } from '../__fixtures__/loadProtocolFleet.js'
import { DatagramKind, packDatagram, unpackDatagram } from '../datagram.js'
import { encodeLoadMessage, readLoadMessage, type LoadMessage } from '../loadMessage.js'
import { encodePeerMessage, readPeerMessage, type PeerMessage } from '../peerMessage.js'

const SERVER = 'i-5ad53fabda'
const server = hashNumber(SERVER)
const SET_UP_MS = 20
const TOKENS = 9000

/** The first and second watcher of the server, and the other instances. */
function pickPeers (fleet: LoadProtocolFleet): readonly [LoadPeer, LoadPeer, readonly LoadPeer[]] {
  const watchers = watchersOf(server, fleet.peers.map(({ address }) => ({ address, hash: hashNumber(address) })))
  const [first, second] = watchers.map(({ address }) => fleet.peers.find(peer => peer.address === address)) as [LoadPeer, LoadPeer]
  return [first, second, fleet.peers.filter(peer => peer !== first && peer !== second)]
}

/** Each instance has one request at the server, which reads at the speed. */
async function runRequests (fleet: LoadProtocolFleet, peers: readonly LoadPeer[], tokensPerMs: number): Promise<void> {
  for (const peer of peers) {
    fleet.setLoad(peer, SERVER, 1)
    peer.protocol.addSpeedSample({ server, tokens: TOKENS, ms: SET_UP_MS + TOKENS / tokensPerMs })
    await fleet.advance(30)
    fleet.setLoad(peer, SERVER, 0)
    await fleet.advance(30)
  }
}

describe('the speed of a server in a fleet', () => {
  // Each instance uses a server too rarely to learn its speed: a slow server would never be recognized.
  it('is known to its watcher from samples of many instances, and to an instance that queries', async t => {
    const fleet = await LoadProtocolFleet.start(40)
    const [first, second, others] = pickPeers(fleet)
    await runRequests(fleet, others.slice(0, 30), 20)
    const asking = others[35] as LoadPeer
    await fleet.query(asking, SERVER)
    const { tokensPerMs = 0, weightStep } = asking.speeds.get(server) ?? {}
    t.true(tokensPerMs > 17 && tokensPerMs < 23, `${tokensPerMs}`)
    t.is(weightStep, first.speeds.get(server)?.weightStep)
    t.true((weightStep ?? 0) < 0)
    t.deepEqual([first, second, asking].map(({ weightSteps }) => weightSteps.length > 0), [true, false, false])
    fleet.stop()
  })

  // Slow servers get few prompts: after a start of all instances, samples that are dropped cost seconds.
  it('counts samples from before the speed of the service was known', async t => {
    const fleet = await LoadProtocolFleet.start(40)
    const [first, , others] = pickPeers(fleet)
    fleet.isServiceSpeedKnown = false
    await runRequests(fleet, others.slice(0, 12), 20)
    t.is(first.speeds.get(server), undefined)
    fleet.isServiceSpeedKnown = true
    await runRequests(fleet, others.slice(12, 13), 20)
    t.true((first.speeds.get(server)?.tokensPerMs ?? Infinity) < 26)
    fleet.stop()
  })

  // The first watcher crashes. If the second one started from nothing, homes would move back and away again.
  it('is kept by the second watcher when it takes over', async t => {
    const fleet = await LoadProtocolFleet.start(40)
    const [first, second, others] = pickPeers(fleet)
    await runRequests(fleet, others.slice(0, 30), 20)
    second.protocol.applyWatchedServers(first.protocol.sums([server]))
    const announced = first.speeds.get(server)
    first.isCut = true
    fleet.removeMember(first)
    await runRequests(fleet, others.slice(30, 34), 20)
    t.is(second.speeds.get(server)?.weightStep, announced?.weightStep)
    t.deepEqual(second.weightSteps, [])
    t.true(Math.abs((second.speeds.get(server)?.tokensPerMs ?? 0) / 20 - 1) < 0.15)
    fleet.stop()
  })

  it('is that of the service for an ordinary server, without additional bytes or datagrams', async t => {
    const fleet = await LoadProtocolFleet.start(40)
    const [first, , others] = pickPeers(fleet)
    await runRequests(fleet, others, fleet.serviceTokensPerMs)
    t.deepEqual(first.speeds.get(server), { tokensPerMs: undefined, weightStep: 0 })
    t.deepEqual(first.protocol.sums([server]), [])
    fleet.stop()
  })

  // Guards against a home weight that the other instances keep after the server has become ordinary and idle.
  it('is announced for a while after it has returned to that of the service', async t => {
    const fleet = await LoadProtocolFleet.start(40)
    const [first, , others] = pickPeers(fleet)
    await runRequests(fleet, others.slice(0, 9), 30)
    t.not(first.protocol.sums([server])[0]?.speed, undefined)
    await runRequests(fleet, others.slice(9, 30), fleet.serviceTokensPerMs)
    const [sum] = first.protocol.sums([server])
    t.deepEqual([sum?.outstanding, sum?.speed], [0, undefined])
    await fleet.advance(9000)
    t.deepEqual(first.protocol.sums([server]), [])
    fleet.stop()
  })
})

function roundTrip (message: LoadMessage): LoadMessage | undefined {
  return unpackDatagram(encodeLoadMessage(message)).chain(readLoadMessage).extract()
}

const load = { server: 7, outstanding: 1, tokens: 2890, heldTokens: 1024 }
const heartbeat: PeerMessage = {
  name: 'a',
  address: '10.0.0.1:7340',
  failureDomain: 'd',
  startedAt: 1,
  isLeaving: false,
  hasStore: true,
  links: 0,
  brittle: [],
  revision: 1,
  positions: { operators: 1, servers: 1 },
  lease: undefined,
  loads: [load],
  sums: [{ ...load, speed: { tokensPerMs: 22, weightStep: -2 } }, { ...load, speed: undefined }],
  quarantines: [],
  delayMs: 0,
  savedLevels: [],
  named: [],
  current: [],
  stores: [],
  speeds: [],
  limits: [],
  instances: 1
}

describe('messages with the speed of servers', () => {
  it('are read as they were sent', t => {
    const report: LoadMessage = { kind: DatagramKind.ServerLoadReport, address: 'a', loads: [load], unreachable: [1], saved: [2], backingOff: [3], samples: [{ server: 7, tokens: 9190, ms: 431 }, { server: 8, tokens: 2890, ms: 90 }] }
    const response: LoadMessage = { kind: DatagramKind.LoadResponse, address: 'a', number: 4, loads: [{ ...load, speed: { tokensPerMs: undefined, weightStep: 3 } }], unreachable: [1], saved: [2], backingOff: [3] }
    t.deepEqual(roundTrip(report), report)
    t.deepEqual(roundTrip(response), response)
    t.deepEqual(unpackDatagram(encodePeerMessage(heartbeat)).chain(readPeerMessage).extract(), heartbeat)
  })

  // While a release is installed, instances of the previous one send messages without speeds.
  it('are read without the new elements', t => {
    const wireLoad = [7, 1, 2890, 1024]
    const report = readLoadMessage([DatagramKind.ServerLoadReport, 'a', [wireLoad], [], [], []]).extract()
    const response = readLoadMessage([DatagramKind.LoadResponse, 'a', 4, [wireLoad], [], [], []]).extract()
    t.deepEqual(report, { kind: DatagramKind.ServerLoadReport, address: 'a', loads: [load], unreachable: [], saved: [], backingOff: [], samples: [] })
    t.deepEqual(response, { kind: DatagramKind.LoadResponse, address: 'a', number: 4, loads: [{ ...load, speed: undefined }], unreachable: [], saved: [], backingOff: [] })
    const wire = unpackDatagram(encodePeerMessage(heartbeat)).orDefault([]).map((part, index) => index === 14 ? [[7, 1, 2890, 2]] : part)
    t.deepEqual(readPeerMessage(wire).extract()?.sums, [{ ...load, speed: undefined }])
  })

  // A faulty instance must not move the homes of all levels, or make a server look infinitely fast.
  it('are read without a speed or a weight step out of bounds', t => {
    const fields = [[-5, 0.5], [Infinity, 90], ['x', 'y']]
    const wire = packDatagram([DatagramKind.LoadResponse, 'a', 4, fields.map(speed => [7, 1, 2890, 1024, ...speed]), [], [], []])
    const message = unpackDatagram(wire).chain(readLoadMessage).extract()
    t.deepEqual(message?.kind === DatagramKind.LoadResponse && message.loads.map(({ speed }) => speed), [undefined, undefined, undefined])
  })
})
