/**
 * One simulated entry instance: the real router core, claims, lease and log
 * reader, on a clock of its own.
 */
import { SeededRandom, type Engine, type ListedInstance } from 'foxtaillever-core'
import { ClaimFold, ClaimManager, ConfigurationStore, defaultClaimOptions, LeaseFold, LeaseHolder, LogReader, LEASE_MARGIN_MS, SnapshotWriter, type FoldedConfiguration } from 'foxtaillever-fleet'
import { Invariants, RouterCore, Safeguard, type Safeguards } from 'foxtaillever-router'
import { LocalLog, type LogModel } from 'foxtaillever-standins'
import type { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { HeldClock, type ClockError } from './heldClock.js'

export interface EntryOptions {
  readonly name: string
  readonly incarnation: string
  readonly seed: number
  readonly world: VirtualClock
  readonly logModel: LogModel
  readonly clockError: ClockError
  readonly safeguards: Safeguards
  readonly engineOf: (name: string, clock: HeldClock) => Engine
  readonly listOf: () => readonly ListedInstance[]
  readonly engines: readonly string[]
  /** Configurations of the peers that can be reached. */
  readonly copies: () => readonly FoldedConfiguration[]
  readonly retentionMs: number
  /** An order leaves for a backend server under this fencing number. */
  readonly onOrder: (fence: number) => void
}

const LOOK_MS = 500
const ORDER_MS = 200

export class Entry {
  readonly clock: HeldClock
  readonly core: RouterCore
  readonly log: LocalLog
  readonly holder: LeaseHolder
  readonly store = ConfigurationStore.create()
  isPaused = false
  /** True time, milliseconds. */
  wokenAt = 0
  isDead = false
  private readonly random
  private readonly snapshots: SnapshotWriter
  private readonly reader: LogReader
  private readonly engines = new Map<string, Engine>()

  private constructor (readonly options: EntryOptions) {
    const { world, logModel, clockError, safeguards, name, incarnation, seed, retentionMs } = options
    this.clock = HeldClock.create(world, clockError)
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
      // The oracle alone judges; it must not be helped by the program's own checks.
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
    this.look()
    // Otherwise the instance with the fastest clock would always be first.
    this.clock.at(this.clock.now() + this.random.below(ORDER_MS), () => this.giveOrders())
  }

  private engineOf (name: string): Engine {
    const engine = this.engines.get(name) ?? this.options.engineOf(name, this.clock)
    this.engines.set(name, engine)
    return engine
  }

  /** Reads the instance list, a peer's configuration and the engines' load, again and again. */
  private look (): void {
    this.core.applyInstanceList(this.options.listOf())
    this.options.copies().forEach(copy => this.store.offerCopy(copy))
    for (const name of this.options.engines) {
      this.engineOf(name).load().then(report => report.ifRight(load => !this.isDead && this.core.applyLoadReport(name, load)))
    }
    this.clock.at(this.clock.now() + LOOK_MS, () => this.look())
  }

  private giveOrders (): void {
    this.holder.tick(this.clock.now())
    this.snapshots.tick()
    this.holder.checkLease().ifRight(fence => this.options.onOrder(fence))
    this.clock.at(this.clock.now() + ORDER_MS, () => this.giveOrders())
  }

  offset (): number {
    return this.reader.offset()
  }

  pause (): void {
    this.isPaused = true
    this.clock.pause()
  }

  wake (): void {
    this.isPaused = false
    this.wokenAt = this.options.world.now()
    this.clock.wake()
  }

  kill (): void {
    this.isDead = true
    this.clock.kill()
    this.reader.stop()
    this.core.stop()
  }
}
