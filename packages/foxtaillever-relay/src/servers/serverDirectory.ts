/**
 * The backend servers as this instance knows them. Entries come from records of
 * the platform's store, read here or told by another instance; the record's
 * offset is the belief's version, so that nothing ever goes back. What is gone
 * stays known as gone for a while, because an older word of it may still come.
 *
 * A server may start again under its id. The new incarnation has nothing that the
 * former one had: it gets a `KnownServer` of its own, and whoever still holds the
 * former one, such as a request on its way there, changes only that.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { connectionShare, type ConnectionShare } from 'foxtaillever-policy/relay/connectionShare'
import { SETTLED_SAMPLES } from 'foxtaillever-policy/relay/prefillSpeed'
import { StatedAvailability } from 'foxtaillever-policy/relay/statedAvailability'
import { saysSame, ServerState, type ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import type { SpeedNews } from '../peers/peerMessage.js'
import { createKnownServer, type KnownServer } from './knownServer.js'
import { ServerConnections } from './serverConnections.js'
import { ServerExperience } from './serverExperience.js'
import { reachableFrom } from './serverOpening.js'

/** Connections to a server before the configuration says how many it takes. */
const DEFAULT_CONNECTIONS = 16

export interface ServerDirectoryOptions {
  /** The state of a server has changed, or it is new. */
  readonly onChanged: (server: ListedServer, before: ServerState | undefined) => void
  /** A server has answered a request of any kind, sent at the time by `now`. */
  readonly onAnswer?: (server: KnownServer, status: number, headers: IncomingHttpHeaders, sentAt: number) => void
  /** Milliseconds of Unix time, steady. */
  readonly now?: () => number
}

/** The record that removed an entry. */
interface Removal {
  readonly offset: number
  /** Of the newest incarnation that was known. */
  readonly startedAt: number
  readonly stated: StatedAvailability
}

export class ServerDirectory {
  private readonly servers = new Map<string, KnownServer>()
  /** The same servers by the hash of their incarnation. */
  private readonly byHash = new Map<number, KnownServer>()
  private readonly gone = new Map<string, Removal>()
  /** What requests have shown of the servers. */
  readonly experience = ServerExperience.create()
  private routing: Routing | undefined
  /** Instances that share a server's connections. */
  private instances = 1

  private readonly now: () => number

  private constructor (private readonly options: ServerDirectoryOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  static create (options: ServerDirectoryOptions): ServerDirectory {
    return new ServerDirectory(options)
  }

  configure (routing: Routing): void {
    this.routing = routing
    this.limitConnections()
  }

  observeInstances (count: number): void {
    const instances = Math.max(1, count)
    if (instances !== this.instances) {
      this.instances = instances
      this.limitConnections()
    }
  }

  /** The limits of services and the number of instances may both change after a server was added. */
  private limitConnections (): void {
    this.servers.forEach(({ listed, connections }) => connections.limit(this.connectionPart(listed.service)))
  }

  private connectionPart (service: string): ConnectionShare {
    return connectionShare(this.routing?.services.get(service)?.mostConnections ?? DEFAULT_CONNECTIONS, this.instances)
  }

  /**
   * Takes in an entry; an older one than is known changes nothing.
   * @returns whether the entry says anything else than the one before.
   */
  observe (listed: ListedServer, offset: number): boolean {
    // The last record of a former incarnation may stand behind the first one of the next.
    if (!this.isNewer(listed.id, offset) || listed.startedAt < this.startOf(listed.id)) {
      return false
    }
    const known = this.incarnationOf(listed)
    const before = known?.listed
    const server = known ?? this.add(listed, offset)
    if (listed.state === ServerState.Draining) {
      server.stated.recordLeaving(0)
    }
    // An incarnation that said it leaves does not come back.
    server.listed = { ...listed, state: server.stated.isLeaving ? ServerState.Draining : listed.state }
    server.offset = offset
    listed.weights.forEach((version, model) => this.observeWeights(server, model, version))
    if (before?.state !== server.listed.state) {
      this.options.onChanged(server.listed, before?.state)
    }
    return before === undefined || !saysSame(before, server.listed)
  }

  /**
   * The newest entry of the id says nothing that can be used, as when another
   * writer has put it there: no new work goes there until a later one does.
   * @returns whether that is news.
   */
  observeUnreadable (id: string, offset: number): boolean {
    const known = this.servers.get(id)
    if (!known || !this.isNewer(id, offset)) {
      return false
    }
    known.offset = offset
    const before = known.listed.state
    if (before !== ServerState.Ready) {
      return false
    }
    known.listed = { ...known.listed, state: ServerState.Unreadable }
    this.options.onChanged(known.listed, before)
    return true
  }

  /**
   * What the newest incarnation known of the id has stated. Whichever a request was meant
   * for, that one answers it: those before had ended.
   */
  newestStated (id: string): StatedAvailability | undefined {
    return (this.servers.get(id) ?? this.gone.get(id))?.stated
  }

  /**
   * A server said in an answer that it leaves.
   * @returns whether that is news.
   */
  observeLeaving (id: string, now: number): boolean {
    const server = this.servers.get(id)
    const isNews = this.newestStated(id)?.recordLeaving(now) === true
    if (server && isNews) {
      const before = server.listed.state
      server.listed = { ...server.listed, state: ServerState.Draining }
      this.options.onChanged(server.listed, before)
    }
    return isNews
  }

  /**
   * A server said itself when it started.
   * @returns whether it is the incarnation known; a later one takes its place, of an
   * earlier one nothing counts.
   */
  observeStart (server: KnownServer, startedAt: number): boolean {
    const { listed, offset } = server
    if (startedAt > listed.startedAt && this.servers.get(listed.id) === server) {
      const next = this.add({ ...listed, startedAt, state: ServerState.Ready, weights: new Map<string, number>() }, offset)
      if (next.stated.isLeaving) {
        next.listed = { ...next.listed, state: ServerState.Draining }
      }
      this.options.onChanged(next.listed, undefined)
    }
    return startedAt === listed.startedAt
  }

  private isNewer (id: string, offset: number): boolean {
    return offset > (this.servers.get(id)?.offset ?? this.gone.get(id)?.offset ?? -1)
  }

  /** Start of the newest incarnation known of the id. */
  private startOf (id: string): number {
    return this.servers.get(id)?.listed.startedAt ?? this.gone.get(id)?.startedAt ?? 0
  }

  /** The server of the id if it is this incarnation. */
  private incarnationOf ({ id, startedAt }: ListedServer): KnownServer | undefined {
    const known = this.servers.get(id)
    return known && startedAt > known.listed.startedAt ? undefined : known
  }

  /** What the incarnation has stated already; a later one than was known has stated what was heard since its start. */
  private statedOf ({ id, startedAt }: ListedServer): StatedAvailability {
    const stated = this.newestStated(id)
    if (stated === undefined) {
      return StatedAvailability.create()
    }
    return startedAt > this.startOf(id) ? stated.sinceStart(startedAt) : stated
  }

  /** Nothing is believed of the incarnation any more; requests on their way there end by themselves. */
  private end (server: KnownServer): void {
    this.servers.delete(server.listed.id)
    this.byHash.delete(server.hash)
    server.connections.close()
  }

  /** The entry was removed: the server has left, or was silent for too long. */
  remove (id: string, offset: number): void {
    if (!this.isNewer(id, offset)) {
      return
    }
    const known = this.servers.get(id)
    const stated = this.newestStated(id) ?? StatedAvailability.create()
    this.gone.set(id, { offset, startedAt: this.startOf(id), stated })
    if (known) {
      const before = known.listed.state
      known.listed = { ...known.listed, state: ServerState.Gone }
      this.end(known)
      this.options.onChanged(known.listed, before)
    }
  }

  /** A full reading of the list up to the offset: what it does not name is gone. */
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

  /** By the hash of its incarnation, as other instances name it. */
  ofHash (hash: number): KnownServer | undefined {
    return this.byHash.get(hash)
  }

  /** Whether the configuration has the service: an entry from another writer may name any. */
  isServed (service: string): boolean {
    return this.routing?.services.has(service) === true
  }

  all (): readonly KnownServer[] {
    return [...this.servers.values()]
  }

  /** Servers of a service that may get new work. */
  ready (service: string): KnownServer[] {
    return this.all().filter(({ listed }) => listed.service === service && listed.state === ServerState.Ready)
  }

  /** Weights only rise within one incarnation of a server. */
  observeWeights (server: KnownServer, model: string, version: number): void {
    if (version > (server.weights.get(model) ?? -1)) {
      server.weights.set(model, version)
      endChange(server, model, version)
    }
  }

  /** What this instance has seen enough of to tell it. */
  speedsToTell (): SpeedNews[] {
    return [...this.experience.prefillSpeeds].flatMap(([service, { tokensPerMs, samples }]) =>
      samples >= SETTLED_SAMPLES && this.isServed(service) ? [{ service, tokensPerMs, samples }] : [])
  }

  /** Memory of an engine of the service, in tokens; 0 where unknown. */
  memoryOf (service: string): number {
    return this.routing?.services.get(service)?.engine?.cacheTokens ?? 0
  }

  /** Adds an incarnation; the former one ends. */
  private add (listed: ListedServer, offset: number): KnownServer {
    const stated = this.statedOf(listed)
    const former = this.servers.get(listed.id)
    if (former) {
      this.end(former)
    }
    const connections = ServerConnections.create({
      address: listed.address,
      now: this.now,
      part: this.connectionPart(listed.service),
      mayLeave: () => reachableFrom(server) <= this.now(),
      onAnswer: (status, headers, sentAt) => this.options.onAnswer?.(server, status, headers, sentAt)
    })
    const server = createKnownServer(listed, offset, stated, connections)
    this.servers.set(listed.id, server)
    this.byHash.set(server.hash, server)
    return server
  }
}

/** News of an earlier change may come after the word that the next one has begun; it does not end that. */
function endChange (server: KnownServer, model: string, version: number): void {
  const { changingTo } = server
  if (changingTo === undefined || changingTo.model !== model || version >= changingTo.version) {
    server.changingUntil = 0
  }
}
