/**
 * One simulated entry instance: the real router core, claims, lease and log
 * reader, with its own clock.
 */
import { SeededRandom, type Engine, type ListedInstance } from 'foxtaillever-core'
import { ClaimFold, ClaimManager, ConfigurationStore, defaultClaimOptions, LeaseFold, LeaseHolder, LogReader, LEASE_MARGIN_MS, SnapshotWriter, type FoldedConfiguration } from 'foxtaillever-fleet'
import { Invariants, RouterCore, Safeguard, type Safeguards } from 'foxtaillever-router'
import { LocalLog, type LogModel } from 'foxtaillever-standins'
import type { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { PausableClock, type ClockError } from './pausableClock.js'

export interface EntryOptions {
  readonly name: string
  readonly incarnation: string
  readonly seed: number
  readonly world: VirtualClock
  readonly logModel: LogModel
  readonly clockError: ClockError
  readonly safeguards: Safeguards
  readonly engineOf: (name: string, clock: PausableClock) => Engine
  readonly listOf: () => readonly ListedInstance[]
  readonly engines: readonly string[]
  /** Configurations of the reachable peers. */
  readonly peerConfigurations: () => readonly FoldedConfiguration[]
  readonly retentionMs: number
  /** Called when an order is sent to a backend server under this fencing number. */
  readonly onOrder: (fence: number) => void
}

const POLL_INTERVAL_MS = 500
const ORDER_INTERVAL_MS = 200

export class Entry {
  readonly clock: PausableClock
  readonly core: RouterCore
  readonly log: LocalLog
  readonly holder: LeaseHolder
  readonly store = ConfigurationStore.create()
  isPaused = false
  /** True time, milliseconds. */
  resumedAt = 0
  isDead = false
  private readonly random
  private readonly snapshots: SnapshotWriter
  private readonly reader: LogReader
  private readonly engines = new Map<string, Engine>()

  private constructor (readonly options: EntryOptions) {
    const { world, logModel, clockError, safeguards, name, incarnation, seed, retentionMs } = options
    this.clock = PausableClock.create(world, clockError)
    this.random = SeededRandom.create(seed)
    this.log = LocalLog.create(logModel, this.clock, world)
    const fold = ClaimFold.create({ claimRetentionMs: retentionMs, logRetentionMs: retentionMs })
    const claims = ClaimManager.create(this.log, fold, this.clock, { ...defaultClaimOptions, instance: name, incarnation })
    const { random } = this
    const marginMs = safeguards[Safeguard.FencingMargin] ? LEASE_MARGIN_MS : 0
    this.holder = LeaseHolder.create({
      name: 'orders', instance: name, incarnation, log: this.log, fold: LeaseFold.create(), clock: this.clock, random, isCandidate: () => true, marginMs
    })
    this.core = RouterCore.create({
      clock: this.clock,
      random,
      failureDomain: 'recife',
      engineOf: server => this.engineOf(server.name),
      claims,
      // Only the oracle detects violations; the program's own checks must not do it in its place.
      invariants: Invariants.create(),
      safeguards
    })
    this.snapshots = SnapshotWriter.create(this.log, this.store, this.clock, random, retentionMs)
    this.reader = LogReader.create(this.log, this.clock,
      [this.store.applyRecord, this.snapshots.handleRecord, record => claims.applyRecord(record), record => this.holder.applyRecord(record)],
      (first, page) => {
        this.store.noteFirstRetainedOffset(first)
        claims.updateCoverage(page)
      })
    this.store.onChange(({ configuration }) => this.core.configure(configuration))
  }

  static create (options: EntryOptions): Entry {
    return new Entry(options)
  }

  start (): void {
    this.reader.start()
    this.core.start()
    this.poll()
    // A random first delay; otherwise the instance with the fastest clock would always get the lease first.
    this.clock.at(this.clock.now() + this.random.below(ORDER_INTERVAL_MS), () => this.sendOrder())
  }

  private engineOf (name: string): Engine {
    const engine = this.engines.get(name) ?? this.options.engineOf(name, this.clock)
    this.engines.set(name, engine)
    return engine
  }

  /** Periodically reads the instance list, the configurations of peers and the load of engines. */
  private poll (): void {
    this.core.applyInstanceList(this.options.listOf())
    this.options.peerConfigurations().forEach(copy => this.store.offerCopy(copy))
    for (const name of this.options.engines) {
      this.engineOf(name).load().then(report => report.ifRight(load => !this.isDead && this.core.applyLoadReport(name, load)))
    }
    this.clock.at(this.clock.now() + POLL_INTERVAL_MS, () => this.poll())
  }

  private sendOrder (): void {
    this.holder.tick(this.clock.now())
    this.snapshots.tick()
    this.holder.checkLease().ifRight(fence => this.options.onOrder(fence))
    this.clock.at(this.clock.now() + ORDER_INTERVAL_MS, () => this.sendOrder())
  }

  offset (): number {
    return this.reader.offset()
  }

  pause (): void {
    this.isPaused = true
    this.clock.pause()
  }

  resume (): void {
    this.isPaused = false
    this.resumedAt = this.options.world.now()
    this.clock.resume()
  }

  kill (): void {
    this.isDead = true
    this.clock.kill()
    this.reader.stop()
    this.core.stop()
  }
}
