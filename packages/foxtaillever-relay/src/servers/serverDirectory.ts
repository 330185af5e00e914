/**
 * The backend servers as this instance knows them. Entries come from records of
 * the platform's store, read here or received from another instance. The record's
 * offset alone is the version of the entry, so that an older record never replaces a newer
 * one, and all instances that know the same records know the same servers. Removed servers
 * stay known as removed, because an older record of them may still arrive.
 *
 * A server may start again under its id. The new incarnation keeps no state of the
 * previous one: it gets its own `KnownServer`, and code that still holds the previous
 * one, such as a request in flight, changes only that. The start that an entry names tells
 * incarnations apart; it orders nothing, because it is of the server's clock or of another writer.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { connectionShare, type ConnectionShare } from 'foxtaillever-policy/relay/connectionShare'
import { ANNOUNCED_SAMPLES } from 'foxtaillever-policy/relay/prefillSpeed'
import { StatedAvailability } from 'foxtaillever-policy/relay/statedAvailability'
import { ServerState, type ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import type { SpeedUpdate } from '../peers/peerMessage.js'
import type { BodyExcess } from './byteBounds.js'
import { IncarnationStatements, type Incarnation } from './incarnationStatements.js'
import { createKnownServer, type KnownServer } from './knownServer.js'
import { ServerConnections } from './serverConnections.js'
import { ServerObservations } from './serverObservations.js'
import { reachableFrom } from './serverAvailability.js'

/** Connections to a server before the configuration states how many it accepts. */
const DEFAULT_CONNECTIONS = 16

export interface ServerDirectoryOptions {
  /** The state of a server has changed, or it is new. */
  readonly onChanged: (server: ListedServer, before: ServerState | undefined) => void
  /** An entry with a later offset than the known one names an earlier start. */
  readonly onEarlierStart?: (listed: ListedServer, knownStart: number) => void
  /** A server has answered a request of any kind; `sentAt` is a time of `now`. */
  readonly onAnswer?: (server: KnownServer, status: number, headers: IncomingHttpHeaders, sentAt: number) => void
  /** A body of a server exceeded its bound, and its connection was closed. */
  readonly onExcess?: (server: KnownServer, excess: BodyExcess) => void
  /** Milliseconds of Unix time, monotonic. */
  readonly now?: () => number
  /** Time after which the entry of a silent server is removed, milliseconds: one that lives writes it again before. */
  readonly entryExpiryMs?: number
}

/** An incarnation that the list has, or had. */
interface ListedIncarnation extends Incarnation {
  /** Start that its last entry names, milliseconds of Unix time. */
  readonly entryStartedAt: number
}

/** The record that removed an entry. */
interface Removal extends ListedIncarnation {
  readonly offset: number
}

export class ServerDirectory {
  private readonly servers = new Map<string, KnownServer>()
  /** The same servers by the hash of their incarnation. */
  private readonly byHash = new Map<number, KnownServer>()
  private readonly removals = new Map<string, Removal>()
  private readonly statements: IncarnationStatements
  /** What requests have shown about the servers. */
  readonly observations = ServerObservations.create()
  /** When this instance last received anything from any server, milliseconds of Unix time; 0 for never. */
  heardAt = 0
  private routing: Routing | undefined
  /** Instances that share a server's connections. */
  private instanceCount = 1
  private readonly now: () => number

  private constructor (private readonly options: ServerDirectoryOptions) {
    this.now = options.now ?? (() => performance.now())
    this.statements = IncarnationStatements.create(options.entryExpiryMs ?? 0)
  }

  static create (options: ServerDirectoryOptions): ServerDirectory {
    return new ServerDirectory(options)
  }

  configure (routing: Routing): void {
    this.routing = routing
    this.limitConnections()
  }

  setInstanceCount (count: number): void {
    const instances = Math.max(1, count)
    if (instances !== this.instanceCount) {
      this.instanceCount = instances
      this.limitConnections()
    }
  }

  /** Limits of services and the number of instances may both change after a server was added. */
  private limitConnections (): void {
    this.servers.forEach(({ listed, connections }) => connections.setLimits(this.connectionPart(listed.service)))
  }

  private connectionPart (service: string): ConnectionShare {
    return connectionShare(this.routing?.services.get(service)?.mostConnections ?? DEFAULT_CONNECTIONS, this.instanceCount)
  }

  /** Applies an entry; one that is older than the known entry changes nothing. */
  applyEntry (listed: ListedServer, offset: number): void {
    if (!this.isNewer(listed.id, offset)) {
      return
    }
    const startedAt = this.startOfIncarnation(listed)
    const isOwnEntry = startedAt === listed.startedAt
    const known = this.servers.get(listed.id)
    const same = known?.listed.startedAt === startedAt ? known : undefined
    const before = same?.listed.state
    const server = same ?? this.addIncarnation({ ...listed, startedAt }, offset)
    if (isOwnEntry && listed.state === ServerState.Draining) {
      server.stated.recordLeaving(0)
    }
    // An incarnation that stated that it leaves never serves again.
    server.listed = { ...listed, startedAt, state: server.stated.isLeaving ? ServerState.Draining : listed.state }
    server.entryStartedAt = listed.startedAt
    server.offset = offset
    if (isOwnEntry) {
      listed.weights.forEach((version, model) => this.recordWeights(server, model, version))
    }
    if (before !== server.listed.state) {
      this.options.onChanged(server.listed, before)
    }
  }

  /** Start of the incarnation that the entry puts in force: a later one than the entry names if the server has reported it since the entry before. */
  private startOfIncarnation (listed: ListedServer): number {
    const current = this.currentIncarnation(listed.id)
    if (current?.entryStartedAt === listed.startedAt) {
      return current.startedAt
    }
    if (current !== undefined && listed.startedAt < current.startedAt) {
      this.options.onEarlierStart?.(listed, current.startedAt)
    }
    return listed.startedAt
  }

  /**
   * The newest entry of the id cannot be read, for example because another writer
   * wrote it: the server gets no new work until a later entry can be read.
   */
  markUnreadable (id: string, offset: number): void {
    const known = this.servers.get(id)
    if (!known || !this.isNewer(id, offset)) {
      return
    }
    known.offset = offset
    const before = known.listed.state
    if (before === ServerState.Ready) {
      known.listed = { ...known.listed, state: ServerState.Unreadable }
      this.options.onChanged(known.listed, before)
    }
  }

  /**
   * What the current incarnation of the id has stated. That incarnation answers
   * every request to the id, because the others have ended.
   */
  newestStatedState (id: string): StatedAvailability | undefined {
    return this.currentIncarnation(id)?.stated
  }

  /**
   * A server stated in an answer that it leaves.
   * @returns whether that was not known yet.
   */
  markLeaving (id: string, now: number): boolean {
    const server = this.servers.get(id)
    const isNew = this.newestStatedState(id)?.recordLeaving(now) === true
    if (server && isNew) {
      const before = server.listed.state
      server.listed = { ...server.listed, state: ServerState.Draining }
      this.options.onChanged(server.listed, before)
    }
    return isNew
  }

  /**
   * A server stated when it started. A later incarnation replaces the known one; an
   * earlier incarnation is ignored.
   * @returns whether it is the known incarnation.
   */
  recordStart (server: KnownServer, startedAt: number): boolean {
    const { listed, offset } = server
    if (startedAt > listed.startedAt && this.servers.get(listed.id) === server) {
      // A server whose entry keeps work from it gets none until its next entry.
      const next = this.addIncarnation({ ...listed, startedAt, weights: new Map<string, number>() }, offset)
      next.entryStartedAt = server.entryStartedAt
      if (next.stated.isLeaving) {
        next.listed = { ...next.listed, state: ServerState.Draining }
      }
      this.options.onChanged(next.listed, undefined)
    }
    return startedAt === listed.startedAt
  }

  private isNewer (id: string, offset: number): boolean {
    return offset > (this.servers.get(id)?.offset ?? this.removals.get(id)?.offset ?? -1)
  }

  /** The incarnation of the id that the list had last, or that the server itself reported since; undefined if none is known. */
  private currentIncarnation (id: string): ListedIncarnation | undefined {
    const known = this.servers.get(id)
    return known ? { startedAt: known.listed.startedAt, entryStartedAt: known.entryStartedAt, stated: known.stated } : this.removals.get(id)
  }

  /** Removes the incarnation; its requests in flight end by themselves. */
  private endIncarnation (server: KnownServer): void {
    this.servers.delete(server.listed.id)
    this.byHash.delete(server.hash)
    server.connections.close()
  }

  /** The entry was removed because the server has left or was silent for too long. */
  remove (id: string, offset: number): void {
    if (!this.isNewer(id, offset)) {
      return
    }
    const known = this.servers.get(id)
    const current = this.currentIncarnation(id) ?? { startedAt: 0, entryStartedAt: 0, stated: StatedAvailability.create() }
    this.removals.set(id, { ...current, offset })
    if (known) {
      const before = known.listed.state
      known.listed = { ...known.listed, state: ServerState.Gone }
      this.endIncarnation(known)
      this.options.onChanged(known.listed, before)
    }
  }

  /** The server list was read completely up to the offset: removes the servers that it does not contain. */
  retain (ids: ReadonlySet<string>, end: number): void {
    for (const [id, { offset }] of this.servers) {
      if (!ids.has(id) && offset < end) {
        this.remove(id, end - 1)
      }
    }
  }

  get (id: string): KnownServer | undefined {
    return this.servers.get(id)
  }

  /** By the hash of its incarnation, by which other instances identify it. */
  getByHash (hash: number): KnownServer | undefined {
    return this.byHash.get(hash)
  }

  /** Whether the configuration has the service. An entry from another writer may name any service. */
  hasService (service: string): boolean {
    return this.routing?.services.has(service) === true
  }

  all (): readonly KnownServer[] {
    return [...this.servers.values()]
  }

  /** Servers of a service that may get new work. */
  ready (service: string): KnownServer[] {
    return this.all().filter(({ listed }) => listed.service === service && listed.state === ServerState.Ready)
  }

  /** Records that this instance received something from the server over a connection of its own. */
  recordHeard (server: KnownServer): void {
    server.heardAt = this.now()
    this.heardAt = server.heardAt
  }

  /** Records that a connection of this instance to the server broke. Until something is heard from it, the first one counts. */
  recordBroken (server: KnownServer): void {
    if (server.brokenAt <= server.heardAt) {
      server.brokenAt = this.now()
    }
  }

  /** Records a weights version; within one incarnation of a server versions only increase. */
  recordWeights (server: KnownServer, model: string, version: number): void {
    if (version > (server.weights.get(model) ?? -1)) {
      server.weights.set(model, version)
      endWeightsChange(server, model, version)
    }
  }

  /** Prompt speeds for which this instance has enough samples to announce them. */
  speedsToAnnounce (): SpeedUpdate[] {
    return [...this.observations.prefillSpeeds].flatMap(([service, { tokensPerMs, samples }]) =>
      samples >= ANNOUNCED_SAMPLES && this.hasService(service) ? [{ service, tokensPerMs, samples }] : [])
  }

  /** Memory of an engine of the service, in tokens; 0 where unknown. */
  memoryTokensOf (service: string): number {
    return this.routing?.services.get(service)?.engine?.cacheTokens ?? 0
  }

  /** Adds an incarnation and removes the previous one. */
  private addIncarnation (listed: ListedServer, offset: number): KnownServer {
    const stated = this.statements.succeed(listed.id, listed.startedAt, this.currentIncarnation(listed.id), this.now())
    const former = this.servers.get(listed.id)
    if (former) {
      this.endIncarnation(former)
    }
    const connections = ServerConnections.create({
      address: listed.address,
      now: this.now,
      part: this.connectionPart(listed.service),
      maySend: () => reachableFrom(server) <= this.now(),
      onIdleReset: () => this.recordBroken(server),
      onExcess: excess => {
        this.observations.recordFault(server, this.now())
        this.options.onExcess?.(server, excess)
      },
      onAnswer: (status, headers, sentAt) => {
        this.recordHeard(server)
        this.options.onAnswer?.(server, status, headers, sentAt)
      }
    })
    const server = createKnownServer(listed, offset, stated, connections)
    this.servers.set(listed.id, server)
    this.byHash.set(server.hash, server)
    return server
  }
}

/** Marks a weights change as finished. A late message about an earlier change does not end the current one. */
function endWeightsChange (server: KnownServer, model: string, version: number): void {
  const { changingTo } = server
  if (changingTo === undefined || changingTo.model !== model || version >= changingTo.version) {
    server.changingUntil = 0
  }
}
