/**
 * Measures the cost of the communication between instances, operation by
 * operation, by the number of instances and of backend servers. Run it with
 * `npm run bench:control`.
 */
import { performance } from 'node:perf_hooks'
import { hashNumber, SeededRandom, SystemClock } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { ordinaryConditions, rankCandidates, type PlacementNeed, type ServerCandidate } from 'foxtaillever-policy/relay/placeExchange'
import { noLoad } from 'foxtaillever-policy/relay/serverLoad'
import { encodeAdmissionMessage, readAdmissionMessage } from '../admission/admissionMessage.js'
import { AdmissionProtocol } from '../admission/admissionProtocol.js'
import type { ServerCapacity } from '../admission/serverAdmissions.js'
import { unpackDatagram } from '../peers/datagram.js'
import { FleetLoad } from '../peers/fleetLoad.js'
import { encodeLoadMessage, readLoadMessage } from '../peers/loadMessage.js'
import { LoadProtocol } from '../peers/loadProtocol.js'
import { encodePeerMessage, readPeerMessage, type PeerMessage, type ServerLoadEntry } from '../peers/peerMessage.js'
import { PeerTable } from '../peers/peerTable.js'
import { LimitOwners } from '../limits/limitOwners.js'
import { encodeLimitMessage, readLimitMessage } from '../limits/limitMessage.js'
import { createQuotaKind } from '../limits/accountQuotas.js'
import { LimitProtocol } from '../limits/limitProtocol.js'

const INSTANCES = [8, 80, 195, 380]
const SERVERS = [6, 55, 670]

/** Requests in flight at one instance, each at a different server. */
const IN_FLIGHT = 5

/** Client accounts with a quota. */
const ACCOUNTS = 1700

/** Each operation is measured for this long, milliseconds, after a warm-up of the same length. */
const MEASURED_MS = 60

const clock = SystemClock.create()

interface Size {
  readonly addresses: readonly string[]
  readonly servers: readonly number[]
}

type Operation = () => void

function meanUs (operation: Operation): number {
  const run = (): number => {
    const start = performance.now()
    let runs = 0
    while (performance.now() < start + MEASURED_MS) {
      operation()
      runs += 1
    }
    return (performance.now() - start) * 1000 / runs
  }
  run()
  return run()
}

function createLoad (server: number, outstanding: number): ServerLoadEntry {
  return { server, outstanding, tokens: 2890, heldTokens: 9200 }
}

function heartbeatOf (address: string, sums: readonly ServerLoadEntry[]): PeerMessage {
  return {
    name: address,
    address,
    failureDomain: 'domain',
    startedAt: 1,
    isLeaving: false,
    hasStore: true,
    links: 0,
    brittle: [],
    revision: 57,
    positions: { operators: 1, servers: 1 },
    lease: { offset: 1, holder: 'a', ageMs: 1 },
    loads: [],
    sums,
    quarantines: [],
    delayMs: 0,
    savedLevels: [1, 2, 3, 4],
    named: [],
    current: [],
    stores: [],
    speeds: [{ service: 'engines', tokensPerMs: 50, samples: 20 }],
    limits: [],
    instances: 1
  }
}

function createProtocol (watchers: ComputedWatchers, address: string, ownLoads: () => readonly ServerLoadEntry[] = () => []): LoadProtocol {
  return LoadProtocol.create({
    onRejectionReported: () => {},
    clock,
    address,
    fleetLoad: FleetLoad.create(clock),
    send: (_, message) => { encodeLoadMessage(message) },
    watchersOf: server => watchers.of(server),
    ownLoads,
    isQueried: () => true,
    onSaved: () => {},
    onUnreachable: () => {},
    onBackingOff: () => {},
    speeds: { of: () => undefined, serviceTokensPerMs: () => undefined, record: () => {}, onWeightStep: () => {} },
    onUnresponsive: () => {},
    onReported: () => {},
    queuedTokens: () => 0
  })
}

function createCandidates (servers: readonly number[]): ServerCandidate[] {
  return servers.map((hash, index) => ({
    id: `server-${index}`,
    hash,
    failureDomain: `domain-${index % 5}`,
    slots: 16,
    outstanding: index % 7,
    waitingTokens: 100 * (index % 11),
    missingTokens: 2890,
    heldTokens: 9000,
    memoryTokens: 90_000,
    tokensPerMs: 50,
    ...ordinaryConditions
  }))
}

const need: PlacementNeed = {
  promptKey: 42, promptTokens: 9190, sharedTokens: 6300, outputTokens: 10, fetchMs: 20, objectiveMs: 800, workMs: 20, fetchWaitMs: 0, failureDomain: 'domain-0'
}

const operations: Readonly<Record<string, (size: Size) => Operation>> = {
  'members change, all watchers anew': ({ addresses, servers }) => {
    const watchers = ComputedWatchers.create()
    let hasAllMembers = false
    return () => {
      hasAllMembers = !hasAllMembers
      watchers.setMembers(hasAllMembers ? addresses : addresses.slice(1))
      servers.forEach(server => watchers.of(server))
    }
  },
  'beat made': ({ addresses: [address = '', ...others], servers }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    const protocol = createProtocol(watchers, address)
    return () => { encodePeerMessage(heartbeatOf(address, protocol.sums(servers))) }
  },
  'beat heard': ({ addresses }) => {
    const table = PeerTable.create()
    const heartbeats = addresses.map(address => encodePeerMessage(heartbeatOf(address, [])))
    let turn = 0
    return () => {
      const bytes = heartbeats[turn++ % heartbeats.length] ?? Buffer.alloc(0)
      unpackDatagram(bytes).chain(readPeerMessage).ifJust(message => table.recordMessage(message, clock.now()))
    }
  },
  'report received, query answered': ({ addresses: [address = '', other = '', ...others], servers: [server = 0] }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, other, ...others])
    const protocol = createProtocol(watchers, address)
    const report = encodeLoadMessage({ kind: 11, address: other, loads: [createLoad(server, 1)], unreachable: [], saved: [], backingOff: [], samples: [{ server, tokens: 9190, ms: 200 }] })
    const query = encodeLoadMessage({ kind: 12, address: other, number: 1, servers: [server], levels: [7] })
    return () => [report, query].forEach(bytes => unpackDatagram(bytes).chain(readLoadMessage).ifJust(message => protocol.handleMessage(message)))
  },
  'check, with five requests in flight': ({ addresses: [address = '', ...others], servers }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    let outstanding = 0
    const protocol = createProtocol(watchers, address, () => servers.slice(0, IN_FLIGHT).map(server => createLoad(server, 1 + outstanding % 2)))
    return () => {
      outstanding += 1
      protocol.handleHeartbeat()
    }
  },
  'quota requested, decided and answered, 1,700 accounts in turn': ({ addresses }) => {
    const limitOwners = LimitOwners.create(0)
    limitOwners.setMembers(addresses, true, clock.now())
    const ranked = limitOwners.of('account-0')
    const protocols = ranked.slice(0, 2).map(address => LimitProtocol.create({
      clock,
      address,
      ...createQuotaKind({ overage: 0.1, slack: 72_000, windowMs: 8000 }),
      ranking: () => ranked,
      stableSince: () => 0,
      instanceCount: () => addresses.length,
      send: (to, message) => { unpackDatagram(encodeLimitMessage(message)).chain(readLimitMessage).ifJust(received => protocols[ranked.indexOf(to)]?.receive(received)) },
      onInstanceSeen: () => {},
      onDecided: () => {},
      onUnresponsive: () => {}
    }))
    let turn = 0
    return () => { protocols[1]?.claim({ key: `account-${turn++ % ACCOUNTS}`, limit: { perSecond: 1e9, burst: 1e9, revision: 1 }, cost: 9190 }, () => {}) }
  },
  'admission requested, decided and answered, and its report counted': ({ addresses: [owner = '', requester = ''], servers }) => {
    const roomOf = (): ServerCapacity => ({ tokensPerMs: 38.7, memoryTokens: 91_225, slots: 32, readAheadMs: 102, isBrittle: false })
    const shared = { clock, watchersOf: () => [owner], isComplete: () => true, roomOf, loadOf: () => noLoad, onDecided: () => {}, onUnresponsive: () => {} }
    const protocols = new Map([owner, requester].map(address => [address, AdmissionProtocol.create({
      ...shared, address, send: (to, message) => { unpackDatagram(encodeAdmissionMessage(message)).chain(readAdmissionMessage).ifJust(received => protocols.get(to)?.receive(received)) }
    })]))
    let turn = 0
    return () => {
      const server = servers[turn++ % servers.length] ?? 0
      protocols.get(requester)?.request({ server, tokens: 2890, heldTokens: 9200, priority: 3, account: 'account-17', fingerprint: turn, arrivedAt: clock.now() - 3, objectiveMs: 1215, latestStartAt: clock.now() + 2000, isBrittle: false }, () => {})
      protocols.get(owner)?.recordLoad(server, requester, 1)
    }
  },
  placement: ({ servers }) => {
    const candidates = createCandidates(servers)
    const random = SeededRandom.create(1)
    return () => { rankCandidates(candidates, need, random) }
  }
}

for (const [name, prepare] of Object.entries(operations)) {
  console.log(`\n${name}, microseconds\n${['instances', ...SERVERS.map(servers => `${servers} servers`)].join('\t')}`)
  for (const instances of INSTANCES) {
    const addresses = Array.from({ length: instances }, (_, index) => `10.0.${index >> 8}.${index & 255}:7340`)
    const costs = SERVERS.map(count => meanUs(prepare({ addresses, servers: Array.from({ length: count }, (_, index) => hashNumber(`i-${index}`)) })))
    console.log([instances, ...costs.map(cost => cost.toFixed(1))].join('\t'))
  }
}
