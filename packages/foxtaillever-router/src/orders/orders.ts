/**
 * Orders to backend servers in one entry instance: the lease, the wanted state,
 * and the loop that brings backend servers to it. Only the two homes of the
 * lease try to acquire it, so that hundreds of instances do not append to the
 * log at once.
 */
import type { Cancellation, Clock, Configuration, Log, LogRecord, Random } from 'foxtaillever-core'
import { homesOf, LeaseFold, LeaseHolder, OrderSystem, DesiredOrders } from 'foxtaillever-fleet'
import { OrderClient } from '../adapters/orderClient.js'
import { LogOrderHandler } from './logOrderHandler.js'

/** Name of the lease under which all orders are given. */
const LEASE = 'orders'

/** Number of homes; the standby replaces a dead owner at once. */
const CANDIDATES = 2

const TICK_MS = 100

export interface OrdersOptions {
  readonly name: string
  readonly incarnation: string
  readonly log: Log
  readonly clock: Clock
  readonly random: Random
  readonly configuration: () => Configuration
  /** Live instances, including this one. */
  readonly members: () => ReadonlyArray<{ readonly name: string }>
}

export class Orders {
  readonly handler: LogOrderHandler
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
    this.handler = LogOrderHandler.create({ log, clock, wants: this.wants, system: this.system })
  }

  static create (options: OrdersOptions): Orders {
    return new Orders(options)
  }

  /** No instance needs the lease while there are no orders. */
  private isCandidate (): boolean {
    const homes = homesOf(LEASE, this.options.members(), CANDIDATES)
    return this.wants.all().length > 0 && homes.some(({ name }) => name === this.options.name)
  }

  /** Applies one record; called by the log reader. */
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
