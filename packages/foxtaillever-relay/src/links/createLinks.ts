/** Creates the parts of an instance that deal with its links to the backend servers. */
import type { Clock, Random } from 'foxtaillever-core'
import type { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import type { CrashProtocol } from '../crashes/crashProtocol.js'
import type { ExchangeDispatcher } from '../exchange/exchangeDispatcher.js'
import type { Routing } from '../model/routing.js'
import type { ServerWire } from '../model/wire.js'
import type { Peers } from '../peers/peers.js'
import type { RelayOptions } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import { ByteSource, type RelayLog } from '../telemetry/relayLog.js'
import { ForwardingClient } from './forwardingClient.js'
import { ForwardingServer } from './forwardingServer.js'
import { LinkMonitor } from './linkMonitor.js'
import { createServerPaths, type ServerPaths } from './serverPaths.js'
import { probeServer } from './serverProbe.js'

/** Longest body of a carried request before a configuration is known, bytes. */
const DEFAULT_BODY_BYTES = 1_048_576

export interface LinksOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: RelayLog
  readonly crashes: CrashProtocol
  readonly wire: ServerWire
  readonly probeCall: RelayOptions['probeCall']
  readonly connectTimeoutMs: number
  /** Created after the links, since it sends over them. */
  readonly dispatcher: () => ExchangeDispatcher
  readonly peers: () => Peers
  readonly routing: () => Routing | undefined
  readonly budget: ProcessBudget
}

export interface Links {
  readonly monitor: LinkMonitor
  readonly client: ForwardingClient
  readonly server: ForwardingServer
  readonly paths: ServerPaths
}

export function createLinks ({ clock, random, log, crashes, wire, probeCall, connectTimeoutMs, dispatcher, peers, routing, budget }: LinksOptions): Links {
  const client = ForwardingClient.create({
    clock,
    random,
    address: () => peers().address,
    peers: () => peers().likely(),
    onExcess: (address, excess) => log.bodyExceeded(ByteSource.Instance, address, excess),
    onAnswer: (...answer) => dispatcher().applyForwardedAnswer(...answer)
  })
  const directory = (): ServerDirectory => dispatcher().directory
  const monitor = LinkMonitor.create({
    clock,
    random,
    log,
    directory,
    probe: async (server, deadline) => {
      const { address, service } = server.listed
      return await probeServer({ address, call: probeCall(routing()?.services.get(service)) }, clock, deadline, () => { server.refusedConnectionAt = clock.now() })
    },
    peers: () => client.soundPeers(),
    probeThrough: async (peer, server, deadline) => await client.probe(peer, server, deadline),
    onStateChanged: () => peers().sendSoon(),
    onBroken: () => dispatcher().runs.checkLinks()
  })
  const server = ForwardingServer.create({
    clock,
    wire,
    connectTimeoutMs,
    directory,
    monitor,
    log,
    crashes,
    isMember: address => peers().table.has(address),
    maxBodyBytes: () => routing()?.limits.bodyBytes ?? DEFAULT_BODY_BYTES,
    budget
  })
  return { monitor, client, server, paths: createServerPaths({ now: () => clock.now(), monitor, client }) }
}
