/** A member without a router: a complete Fleet with its own socket and HTTP server. */
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import type { AddressInfo, Server } from 'node:net'
import { SeededRandom, type Clock, type InstanceList, type LogRecord } from 'foxtaillever-core'
import { hashText } from 'foxtaillever-core/hashPrompt'
import { createPeerRouter, FactKind, Fleet, KeyRing, PEER_PATH, Permission, TrpcPeers, UdpDatagrams, type PeerSource } from 'foxtaillever-fleet'
import type { MemberPlan, MemberSample, StartedMember } from './hostCommands.js'
import type { Reachability } from './reachability.js'
import type { SharedLog } from './sharedLog.js'

/** Long enough that no snapshot falls into a measurement, milliseconds. */
const RETENTION_MS = 86_400_000

/** How long a shared fact is valid, milliseconds. */
const FACT_LIFETIME_MS = 10_000

export interface HostParts {
  readonly clock: Clock
  readonly log: SharedLog
  readonly instances: InstanceList
  readonly reachability: Reachability
  readonly seed: number
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

export class HostedMember {
  private revisionAt = 0
  private watchedNames: readonly string[] = []
  private watchedGoneAt = 0

  private constructor (private readonly fleet: Fleet, private readonly server: Server, private readonly peers: TrpcPeers, readonly started: StartedMember, private readonly clock: Clock) {
    fleet.store.onChange(() => { this.revisionAt = clock.now() })
  }

  static async create (plan: MemberPlan, parts: HostParts): Promise<HostedMember> {
    const { clock, log, instances, reachability } = parts
    const keys = KeyRing.create([{ id: 'k1', secret: 'a secret for measurements', permissions: [Permission.Join] }])
    const random = SeededRandom.create(parts.seed)
    const datagrams = UdpDatagrams.create('127.0.0.1:0')
    const address = await datagrams.bind()
    const peers = TrpcPeers.create(plan.name, keys, clock, random)
    const source: PeerSource = { configuration: () => fleet.configuration(), changesSince: revision => fleet.changesSince(revision), memberEntries: () => fleet.memberEntries() }
    const { server } = createPeerServer(createPeerRouter(source, keys, clock))
    const controlAddress = await listen(server)
    const started = { ...plan, address, controlAddress }
    const fleet = Fleet.create({
      self: started,
      seeds: [],
      log,
      logRetentionMs: RETENTION_MS,
      instances,
      datagrams: reachability.limitDatagrams(address, datagrams),
      peers: reachability.limitPeers(controlAddress, peers),
      keys,
      clock,
      random
    })
    await fleet.start()
    return new HostedMember(fleet, server, peers, started, clock)
  }

  applyRecord (record: LogRecord): void {
    this.fleet.store.applyRecord(record)
  }

  shareFacts (count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.fleet.announceFact(FactKind.AccountDemand, `account-${index}`, [1234, 56], this.clock.now() + FACT_LIFETIME_MS)
    }
  }

  watchMembers (names: readonly string[]): void {
    this.watchedNames = names
    this.watchedGoneAt = 0
  }

  /** Records the time when none of the watched names is a member any more. */
  checkWatchedMembers (): void {
    if (this.watchedNames.length === 0 || this.watchedGoneAt > 0) {
      return
    }
    const names = new Set(this.fleet.members().map(member => member.name))
    if (this.watchedNames.every(name => !names.has(name))) {
      this.watchedGoneAt = this.clock.now()
    }
  }

  sample (): MemberSample {
    const { traffic, facts, configurationsPulled, tablesFetched, rumours } = this.fleet.dump()
    const members = this.fleet.members().map(member => member.name)
    return {
      name: this.started.name,
      sentBytes: traffic.sentBytes,
      receivedBytes: traffic.receivedBytes,
      peerBytes: this.peers.receivedBytes(),
      rumours,
      membersHash: hashText(members.join()),
      members: members.length,
      revision: this.fleet.store.configuration().revision,
      revisionAt: this.revisionAt,
      goneAt: this.watchedGoneAt,
      facts,
      pulled: configurationsPulled,
      synced: tablesFetched
    }
  }

  async stop (): Promise<void> {
    await this.fleet.stop()
    this.server.close()
  }
}

function createPeerServer (router: ReturnType<typeof createPeerRouter>): { readonly server: Server } {
  return { server: createHTTPServer({ router, basePath: `${PEER_PATH}/` }) as Server }
}
