/**
 * Exchanges load in a large fleet. Each server has watchers, computed by all
 * instances alike. Every instance reports changes of the load that it puts on a
 * server to the watchers, and queries the first watcher before it chooses a
 * server. Its information is as old as a datagram's transit, and the traffic
 * grows with its own requests and not with the fleet.
 */
import type { Cancellation } from 'foxtaillever-core'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import { ordinarySpeed } from 'foxtaillever-policy/relay/serverSpeed'
import { DatagramKind } from './datagram.js'
import type { FleetLoad } from './fleetLoad.js'
import type { LoadMessage, LoadRequest, QueuePosition, ServerLoadReport } from './loadMessage.js'
import { LoadQueryClient, type LevelAtHome, type LoadQueryClientOptions, type LoadQuery, type WatcherRequest, type WatcherReport } from './loadQueryClient.js'
import { WatchedServerTable } from './watchedServerTable.js'
import type { ServerLoadEntry, WatchedServerEntry } from './peerMessage.js'
import { WatchedSpeeds, type SpeedRegistry, type SpeedSample } from './watchedSpeeds.js'

/** Milliseconds between two reports of changes: each of 42 servers gets a request every 100. The first change is reported at once. */
const POLL_INTERVAL_MS = 25

/** The same where requests wait for what a change leaves free, milliseconds: a slot that is not reported is idle. */
const AWAITED_INTERVAL_MS = 5

/**
 * Unchanged load is reported again with the first heartbeat after this many
 * milliseconds, because datagrams are lost and watchers change. Heartbeats of a
 * large fleet are 800 to 1000 ms apart.
 */
const REPEAT_REPORT_MS = 700

/** Every instance has repeated all its reports after this many milliseconds: the longest time between two heartbeats, plus a report's transit. */
const ALL_REPORTED_MS = 1025

/** After this many milliseconds without a heartbeat of its own, this instance was suspended or has just started, and missed reports. */
const MISSED_HEARTBEAT_MS = 1500

export interface LoadProtocolOptions extends Pick<LoadQueryClientOptions, 'clock' | 'address' | 'watchersOf' | 'onUnresponsive'> {
  readonly fleetLoad: FleetLoad
  readonly send: (address: string, message: LoadMessage) => void
  /** Load that this instance puts on each server now. */
  readonly ownLoads: () => readonly ServerLoadEntry[]
  /** Whether instances query the load of the server before they choose; the load of other servers is reported with heartbeats only. */
  readonly isQueried: (server: number) => boolean
  /** Called with levels that any instance saved recently. */
  readonly onSaved: (levels: readonly number[]) => void
  /** Called when several instances recently could not reach a server. */
  readonly onUnreachable: (server: number) => void
  /** Called when a server recently asked other instances to back off. */
  readonly onBackingOff: (server: number) => void
  /** Called with every report that a watched server rejected a request or asked for backoff. */
  readonly onRejectionReported: (server: number) => void
  /** Called with every report on a watched server: who reports, and by how many its outstanding requests there have risen. */
  readonly onReported: (server: number, reporter: string, added: number) => void
  /** Prompt tokens that are queued for admission at a server, at the priority or a more urgent one; for an account, those before its next request. */
  readonly queuedTokens: (server: number, priority: number, account?: string) => number
  readonly speeds: SpeedRegistry
}

interface ReportedLoad extends ServerLoad {
  readonly at: number
}

export class LoadProtocol {
  private readonly watchedServers = WatchedServerTable.create()
  private readonly speeds: WatchedSpeeds
  private readonly queries: LoadQueryClient
  /** Load last reported, by the server's hash; `at` is when it was last reported to all watchers. */
  private readonly reported = new Map<number, ReportedLoad>()
  private heartbeatAt = 0
  private polledAt = 0
  /** Milliseconds of Unix time; Infinity while no poll is due. */
  private pollDueAt = Infinity
  /** When every instance will have repeated all its reports, milliseconds of Unix time. */
  private completeAt = Infinity
  private cancelPoll: Cancellation = () => {}

  private constructor (private readonly options: LoadProtocolOptions) {
    const { address } = options
    this.speeds = WatchedSpeeds.create(options.speeds)
    this.queries = LoadQueryClient.create({
      ...options,
      answerLocally: request => this.answerTo(request, address),
      isOwnDataComplete: () => this.isComplete,
      onReport: report => this.applyWatcherReport(report)
    })
  }

  static create (options: LoadProtocolOptions): LoadProtocol {
    return new LoadProtocol(options)
  }

  /** Whether this instance has received every report that it should have as a watcher. */
  get isComplete (): boolean {
    const now = this.options.clock.now()
    // After a suspension the first heartbeat may run later than the datagrams that waited for it.
    return now >= this.completeAt && now <= this.heartbeatAt + MISSED_HEARTBEAT_MS
  }

  /** Load that all instances put on a watched server, this one included. */
  watchedLoad (server: number): ServerLoad {
    return this.watchedServers.sumOf(server, '', this.options.clock.now())
  }

  stop (): void {
    this.cancelPoll()
  }

  /** Called with each heartbeat of this instance. */
  handleHeartbeat (): void {
    const now = this.options.clock.now()
    if (now > this.heartbeatAt + MISSED_HEARTBEAT_MS) {
      this.completeAt = now + ALL_REPORTED_MS
    }
    this.heartbeatAt = now
    this.speeds.retain(now)
    this.cancelPoll()
    this.poll(() => true)
  }

  /** Called when the load that this instance puts on a server changed; reports it soon, sooner if others may wait for what it leaves free. */
  noteChange (isAwaited = false): void {
    const at = this.polledAt + (isAwaited ? AWAITED_INTERVAL_MS : POLL_INTERVAL_MS)
    if (at < this.pollDueAt) {
      this.cancelPoll()
      this.pollDueAt = at
      this.cancelPoll = this.options.clock.at(at, () => this.poll(this.options.isQueried))
    }
  }

  handleMessage (message: LoadMessage): void {
    const now = this.options.clock.now()
    switch (message.kind) {
      case DatagramKind.ServerLoadReport: this.applyReport(message, now); break
      case DatagramKind.LoadRequest: this.answer(message); break
      case DatagramKind.LoadResponse: this.queries.handleResponse(message); break
    }
  }

  /** Queries the watchers of servers; see `LoadQueryClient`. */
  async query (query: LoadQuery): Promise<ReadonlySet<number>> {
    return await this.queries.query(query)
  }

  /** A first event at a server shows its speed: its first watcher gets the sample with the next report, which the ended reading causes. */
  addSpeedSample (sample: SpeedSample): void {
    const [first] = this.options.watchersOf(sample.server)
    if (first !== undefined) {
      this.speeds.addSample(sample, first, this.options.clock.now())
    }
  }

  /** Applies what watchers announce about servers. This instance's own estimates replace it where it is the first watcher. */
  applyWatchedServers (entries: readonly WatchedServerEntry[]): void {
    const { fleetLoad, speeds } = this.options
    for (const { server, speed = ordinarySpeed, ...load } of entries) {
      fleetLoad.setWatchedLoad(server, load)
      if (!this.isFirstWatcher(server)) {
        speeds.record(server, speed)
      }
    }
  }

  /** A server accepted no connection from this instance: its watchers pass this on to instances that are about to send there. */
  reportUnreachable (server: number): void {
    this.notifyWatchers(server, { unreachable: [server] })
  }

  /** A server asked this instance to back off: its watchers pass this on to instances that are about to send there. */
  reportBackingOff (server: number): void {
    if (this.options.isQueried(server)) {
      this.notifyWatchers(server, { backingOff: [server] })
    }
  }

  /** This instance had a level saved: the watchers of its home pass this on with later answers, so that it is saved once. */
  reportSaved ({ level, home }: LevelAtHome): void {
    this.notifyWatchers(home, { saved: [level] })
  }

  /** A store restarted empty: levels are no longer reported as saved. */
  forgetSaved (): void {
    this.watchedServers.saved.clear()
  }

  /** Total load and the speed of the servers for which this instance is the first watcher, to be sent to all instances. */
  sums (servers: readonly number[]): WatchedServerEntry[] {
    const now = this.options.clock.now()
    return servers
      .filter(server => this.isFirstWatcher(server))
      .map(server => this.watchedEntry(server, '', now))
      .filter(({ server, outstanding, speed }) => outstanding > 0 || speed !== undefined || this.speeds.hasReturned(server, now))
  }

  private isFirstWatcher (server: number): boolean {
    return this.options.watchersOf(server)[0] === this.options.address
  }

  private watchedEntry (server: number, except: string, now: number): WatchedServerEntry {
    return { server, ...this.watchedServers.sumOf(server, except, now), speed: this.speeds.announcedSpeed(server) }
  }

  /** A watcher that missed reports does not answer, rather than answer too little; the other watcher is queried instead. */
  private answer (request: LoadRequest): void {
    if (this.isComplete) {
      const { address, number } = request
      this.options.send(address, { kind: DatagramKind.LoadResponse, address: this.options.address, number, ...this.answerTo(request, address) })
    }
  }

  private answerTo ({ servers, levels, position }: WatcherRequest | LoadRequest, requester: string): WatcherReport {
    const now = this.options.clock.now()
    return {
      loads: servers.map(server => this.withQueue(this.watchedEntry(server, requester, now), position)),
      unreachable: servers.filter(server => this.watchedServers.isUnreachable(server, now)),
      saved: levels.filter(level => this.watchedServers.saved.isSavedRecently(level, now)),
      backingOff: servers.filter(server => this.watchedServers.isBackingOff(server, now))
    }
  }

  private withQueue (load: WatchedServerEntry, position: QueuePosition | undefined): WatchedServerEntry {
    return position === undefined ? load : { ...load, tokens: load.tokens + this.options.queuedTokens(load.server, position.priority, position.account) }
  }

  private applyWatcherReport ({ loads, unreachable, saved, backingOff }: WatcherReport): void {
    const { onUnreachable, onBackingOff, onSaved } = this.options
    this.applyWatchedServers(loads)
    unreachable.forEach(onUnreachable)
    backingOff.forEach(onBackingOff)
    onSaved(saved)
  }

  private poll (isReported: (server: number) => boolean): void {
    const now = this.options.clock.now()
    this.polledAt = now
    this.pollDueAt = Infinity
    this.sendReports(isReported, now)
  }

  /** Reports changes to the first watcher at once, and everything to both watchers with a heartbeat. */
  private sendReports (isReported: (server: number) => boolean, now: number): void {
    const own = new Map(this.options.ownLoads().filter(({ server }) => isReported(server)).map(load => [load.server, load]))
    const reports = new Map<string, ServerLoadEntry[]>()
    const gone = [...this.reported.keys()].filter(server => !own.has(server) && isReported(server))
    for (const load of [...own.values(), ...gone.map(server => ({ server, outstanding: 0, tokens: 0, heldTokens: 0 }))]) {
      const last = this.reported.get(load.server)
      const isDue = last === undefined || last.at + REPEAT_REPORT_MS <= now
      if (isDue || !isSame(last, load)) {
        this.addToReports(load, isDue, reports, now)
      }
    }
    reports.forEach((loads, watcher) => this.sendReport(watcher, { loads }, now))
  }

  private addToReports (load: ServerLoadEntry, isForAll: boolean, reports: Map<string, ServerLoadEntry[]>, now: number): void {
    const { server, outstanding, tokens, heldTokens } = load
    const watchers = this.options.watchersOf(server)
    const [primary = ''] = watchers
    const at = isForAll ? now : this.reported.get(server)?.at ?? now
    this.reported.set(server, { outstanding, tokens, heldTokens, at })
    // While the first watcher does not answer, the second decides in its place and needs every change.
    for (const watcher of isForAll || outstanding === 0 || this.queries.isUnresponsive(primary) ? watchers : [primary]) {
      reports.set(watcher, [...reports.get(watcher) ?? [], { server, outstanding, tokens, heldTokens }])
    }
    if (outstanding === 0) {
      this.reported.delete(server)
    }
  }

  private applyReport ({ address, loads, unreachable, saved, backingOff, samples }: ServerLoadReport, now: number): void {
    const before = loads.map(({ server }) => this.watchedServers.outstandingOf(server, address))
    this.watchedServers.recordLoads(address, loads, now)
    loads.forEach(({ server, outstanding }, index) => this.options.onReported(server, address, outstanding - (before[index] ?? 0)))
    this.watchedServers.recordUnreachable(address, unreachable, now)
    this.watchedServers.saved.recordAnnounced(saved, now)
    this.watchedServers.recordBackingOff(backingOff, now)
    backingOff.forEach(this.options.onRejectionReported)
    this.speeds.recordSamples(samples, server => this.isFirstWatcher(server), now)
  }

  private notifyWatchers (server: number, changes: Partial<WatcherReport>): void {
    const { clock, watchersOf } = this.options
    watchersOf(server).forEach(watcher => this.sendReport(watcher, changes, clock.now()))
  }

  private sendReport (watcher: string, { loads = [], unreachable = [], saved = [], backingOff = [] }: Partial<WatcherReport>, now: number): void {
    const { address, send } = this.options
    const report: ServerLoadReport = { kind: DatagramKind.ServerLoadReport, address, loads, unreachable, saved, backingOff, samples: this.speeds.takeSamples(watcher) }
    if (watcher === address) {
      this.applyReport(report, now)
    } else {
      send(watcher, report)
    }
  }
}

function isSame (a: ServerLoad, b: ServerLoad): boolean {
  return a.outstanding === b.outstanding && a.tokens === b.tokens && a.heldTokens === b.heldTokens
}
