/**
 * The orders' part of one entry instance: the lease, what is wanted, and the
 * loop that corrects what backend servers have. Only the two computed homes of
 * the lease try for it, so that hundreds of instances do not append at once.
 */
import type { Cancellation, Clock, Configuration, Log, LogRecord, Random } from 'foxtaillever-core'
import { homesOf, LeaseFold, LeaseHolder, OrderSystem, DesiredOrders } from 'foxtaillever-fleet'
import { OrderClient } from '../adapters/orderClient.js'
import { LogOrderDesk } from './orderDesk.js'

/** Name of the one lease under which all orders are given. */
const LEASE = 'orders'

/** A dead home is replaced by the second at once. */
const CANDIDATES = 2

const TICK_MS = 100

export interface OrdersOptions {
  readonly name: string
  readonly incarnation: string
  readonly log: Log
  readonly clock: Clock
  readonly random: Random
  readonly configuration: () => Configuration
  /** Live instances, this one included. */
  readonly members: () => ReadonlyArray<{ readonly name: string }>
}

export class Orders {
  readonly desk: LogOrderDesk
  private readonly holder: LeaseHolder
  private readonly wants = DesiredOrders.create()
  private readonly system: OrderSystem
  private cancelTick: Cancellation = () => {}

  private constructor (private readonly options: OrdersOptions) {
    const { name, incarnation, log, clock, random, configuration } = options
    this.holder = LeaseHolder.create({
      name: LEASE, instance: name, incarnation, log, fold: LeaseFold.create(), clock, random, isCandidate: () => this.isCandidate()
    })
    this.system = OrderSystem.create({
      clock,
      holder: this.holder,
      desiredOrders: this.wants,
      port: OrderClient.create(server => configuration().servers[server]?.address),
      servers: () => Object.values(configuration().servers).filter(({ models }) => models.length > 0).map(server => server.name)
    })
    this.desk = LogOrderDesk.create({ log, clock, wants: this.wants, system: this.system })
  }

  static create (options: OrdersOptions): Orders {
    return new Orders(options)
  }

  /** Nobody needs the lease while nothing is wanted. */
  private isCandidate (): boolean {
    const homes = homesOf(LEASE, this.options.members(), CANDIDATES)
    return this.wants.all().length > 0 && homes.some(({ name }) => name === this.options.name)
  }

  /** Given to the log reader. */
  readonly read = (record: LogRecord): void => {
    this.wants.applyRecord(record)
    this.holder.applyRecord(record)
  }

  start (): void {
    const { clock } = this.options
    this.system.tick(clock.now())
    this.cancelTick = clock.at(clock.now() + TICK_MS, () => this.start())
  }

  stop (): void {
    this.cancelTick()
  }
}
