/**
 * Checks, whenever an instance sends an order, that this instance holds the
 * lease according to the log. It reads the log even during an outage.
 */
import { LeaseFold } from 'foxtaillever-fleet'
import type { LogModel } from 'foxtaillever-standins'
import { OraclePromise, type Oracle } from '../oracle/oracle.js'

export class OrderMonitor {
  private readonly leases = LeaseFold.create()
  private offset = 0

  private constructor (private readonly log: LogModel, private readonly oracle: Oracle) {}

  static create (log: LogModel, oracle: Oracle): OrderMonitor {
    return new OrderMonitor(log, oracle)
  }

  check (entry: string, fence: number): void {
    this.readNewRecords()
    const lease = this.leases.find('orders')
    this.oracle.expect(OraclePromise.OneOrderSender, lease?.fence === fence, () => `${entry} under ${fence}, ${lease?.instance} holds ${lease?.fence}`)
  }

  private readNewRecords (): void {
    const { outage } = this.log.faults
    this.log.faults.outage = false
    this.log.read(this.offset + 1).ifRight(page => page.records.forEach(record => {
      this.offset = record.offset
      this.leases.applyRecord(record)
    }))
    this.log.faults.outage = outage
  }
}
