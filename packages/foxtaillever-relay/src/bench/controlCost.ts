/**
 * Prints what instances cost each other, piece by piece, by the number of
 * instances and of backend servers. Run it with `npm run bench:control`.
 */
import { performance } from 'node:perf_hooks'
import { hashNumber, SeededRandom, SystemClock } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { rankCandidates, type PlacementNeed, type ServerCandidate } from 'foxtaillever-policy/relay/placeExchange'
import { unpackDatagram } from '../peers/datagram.js'
import { FleetUse } from '../peers/fleetUse.js'
import { encodeLoadMessage, readLoadMessage } from '../peers/loadMessage.js'
import { LoadTalk } from '../peers/loadTalk.js'
import { encodePeerMessage, readPeerMessage, type PeerMessage, type ServerUse } from '../peers/peerMessage.js'
import { PeerTable } from '../peers/peerTable.js'
import { LimitOwners } from '../limits/limitOwners.js'
import { encodeLimitMessage, readLimitMessage } from '../limits/limitMessage.js'
import { createQuotaKind } from '../limits/accountQuotas.js'
import { LimitProtocol } from '../limits/limitProtocol.js'

const INSTANCES = [8, 80, 195, 380]
const SERVERS = [6, 55, 670]

/** Requests under way at one instance, each at a server of its own. */
const OPEN = 5

/** Client accounts with a quota. */
const ACCOUNTS = 1700

/** Each piece is run for so long, milliseconds, after as long without measuring. */
const MEASURED_MS = 60

const clock = SystemClock.create()

interface Size {
  readonly addresses: readonly string[]
  readonly servers: readonly number[]
}

type Piece = () => void

function meanUs (piece: Piece): number {
  const run = (): number => {
    const start = performance.now()
    let runs = 0
    while (performance.now() < start + MEASURED_MS) {
      piece()
      runs += 1
    }
    return (performance.now() - start) * 1000 / runs
  }
  run()
  return run()
}

function useOf (server: number, outstanding: number): ServerUse {
  return { server, outstanding, tokens: 2890, heldTokens: 9200 }
}

function beatOf (address: string, sums: readonly ServerUse[]): PeerMessage {
  return {
    name: address,
    address,
    failureDomain: 'domain',
    startedAt: 1,
    isLeaving: false,
    hasStore: true,
    revision: 57,
    positions: { operators: 1, servers: 1 },
    lease: { offset: 1, holder: 'a', ageMs: 1 },
    uses: [],
    sums,
    suspects: [],
    savedLevels: [1, 2, 3, 4],
    named: [],
    current: [],
    stores: [],
    speeds: [{ service: 'engines', tokensPerMs: 50, samples: 20 }],
    limits: [],
    instances: 1
  }
}

function createTalk (watchers: ComputedWatchers, address: string): LoadTalk {
  return LoadTalk.create({
    clock, address, use: FleetUse.create(clock), send: (_, message) => { encodeLoadMessage(message) }, watchersOf: server => watchers.of(server), own: () => [], isAskedFor: () => true, onSaved: () => {}, onUnreachable: () => {}, onResting: () => {}, onPassedOver: () => {}
  })
}

function createOffers (servers: readonly number[]): ServerCandidate[] {
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
    isRefusing: false,
    isUnreachable: false,
    faultCostMs: 0,
    isChanging: false,
    isOutdated: false,
    coldLeftMs: 0
  }))
}

const need: PlacementNeed = {
  promptKey: 42, promptTokens: 9190, sharedTokens: 6300, outputTokens: 10, pace: { tokensPerMs: 50, fetchMs: 20 }, objectiveMs: 800, workMs: 20, fetchWaitMs: 0, failureDomain: 'domain-0'
}

const pieces: Readonly<Record<string, (size: Size) => Piece>> = {
  'members change, all watchers anew': ({ addresses, servers }) => {
    const watchers = ComputedWatchers.create()
    let isWhole = false
    return () => {
      isWhole = !isWhole
      watchers.setMembers(isWhole ? addresses : addresses.slice(1))
      servers.forEach(server => watchers.of(server))
    }
  },
  'beat made': ({ addresses: [address = '', ...others], servers }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    const talk = createTalk(watchers, address)
    return () => { encodePeerMessage(beatOf(address, talk.sums(servers))) }
  },
  'beat heard': ({ addresses }) => {
    const table = PeerTable.create()
    const beats = addresses.map(address => encodePeerMessage(beatOf(address, [])))
    let turn = 0
    return () => {
      const bytes = beats[turn++ % beats.length] ?? Buffer.alloc(0)
      unpackDatagram(bytes).chain(readPeerMessage).ifJust(message => table.hear(message, clock.now()))
    }
  },
  'word heard, question answered': ({ addresses: [address = '', other = '', ...others], servers: [server = 0] }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, other, ...others])
    const talk = createTalk(watchers, address)
    const word = encodeLoadMessage({ kind: 11, address: other, loads: [useOf(server, 1)], unreachable: [], saved: [], resting: [] })
    const question = encodeLoadMessage({ kind: 12, address: other, number: 1, servers: [server], levels: [7] })
    return () => [word, question].forEach(bytes => unpackDatagram(bytes).chain(readLoadMessage).ifJust(message => talk.hear(message)))
  },
  'look, with five requests under way': ({ addresses: [address = '', ...others], servers }) => {
    const watchers = ComputedWatchers.create()
    watchers.setMembers([address, ...others])
    let outstanding = 0
    const talk = LoadTalk.create({
      clock, address, use: FleetUse.create(clock), send: (_, message) => { encodeLoadMessage(message) }, watchersOf: server => watchers.of(server), own: () => servers.slice(0, OPEN).map(server => useOf(server, 1 + outstanding % 2)), isAskedFor: () => true, onSaved: () => {}, onUnreachable: () => {}, onResting: () => {}, onPassedOver: () => {}
    })
    return () => {
      outstanding += 1
      talk.follow()
    }
  },
  'quota asked, decided and answered, 1,700 accounts in turn': ({ addresses }) => {
    const limitOwners = LimitOwners.create(0)
    limitOwners.setMembers(addresses, true, clock.now())
    const ranked = limitOwners.of('account-0')
    const protocols = ranked.slice(0, 2).map(address => LimitProtocol.create({
      clock,
      address,
      ...createQuotaKind({ overage: 0.1, slack: 72_000, windowMs: 8000 }),
      ranking: () => ranked,
      settledAt: () => 0,
      instances: () => addresses.length,
      send: (to, message) => { unpackDatagram(encodeLimitMessage(message)).chain(readLimitMessage).ifJust(heard => protocols[ranked.indexOf(to)]?.hear(heard)) },
      onMet: () => {},
      onDecided: () => {},
      onPassedOver: () => {}
    }))
    let turn = 0
    return () => { protocols[1]?.claim({ key: `account-${turn++ % ACCOUNTS}`, limit: { perSecond: 1e9, burst: 1e9, revision: 1 }, cost: 9190 }, () => {}) }
  },
  placement: ({ servers }) => {
    const offers = createOffers(servers)
    const random = SeededRandom.create(1)
    return () => { rankCandidates(offers, need, random) }
  }
}

for (const [name, prepare] of Object.entries(pieces)) {
  console.log(`\n${name}, microseconds\n${['instances', ...SERVERS.map(servers => `${servers} servers`)].join('\t')}`)
  for (const instances of INSTANCES) {
    const addresses = Array.from({ length: instances }, (_, index) => `10.0.${index >> 8}.${index & 255}:7340`)
    const costs = SERVERS.map(count => meanUs(prepare({ addresses, servers: Array.from({ length: count }, (_, index) => hashNumber(`i-${index}`)) })))
    console.log([instances, ...costs.map(cost => cost.toFixed(1))].join('\t'))
  }
}
