/**
 * Looks, whenever the byte of an order leaves, whether by the log someone else
 * holds the lease. It sees the log also while nobody else does.
 */
import { LeaseFold } from 'foxtaillever-fleet'
import type { LogModel } from 'foxtaillever-standins'
import { Promised, type Oracle } from '../oracle/oracle.js'

export class OrderWatch {
  private readonly leases = LeaseFold.create()
  private offset = 0

  private constructor (private readonly log: LogModel, private readonly oracle: Oracle) {}

  static create (log: LogModel, oracle: Oracle): OrderWatch {
    return new OrderWatch(log, oracle)
  }

  check (entry: string, fence: number): void {
    this.follow()
    const lease = this.leases.find('orders')
    this.oracle.expect(Promised.OneGiverOfOrders, lease?.fence === fence, () => `${entry} under ${fence}, ${lease?.instance} holds ${lease?.fence}`)
  }

  private follow (): void {
    const { outage } = this.log.faults
    this.log.faults.outage = false
    this.log.read(this.offset + 1).ifRight(page => page.records.forEach(record => {
      this.offset = record.offset
      this.leases.applyRecord(record)
    }))
    this.log.faults.outage = outage
  }
}
