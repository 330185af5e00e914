/**
 * The deterministic fold of lease records: a lease is held by one incarnation
 * until its term is over by the platform's clock. A record of another
 * incarnation before that time has no effect, so a new holder always waits for
 * its predecessor's term to end.
 */
import { RecordKind, type LogRecord } from 'foxtaillever-core'
import { LEASE_TERM_MS, readLeaseRecord, type Lease, type LeaseRecord } from './lease.js'

export class LeaseFold {
  private readonly leases = new Map<string, Lease>()

  private constructor () {}

  static create (): LeaseFold {
    return new LeaseFold()
  }

  find (name: string): Lease | undefined {
    return this.leases.get(name)
  }

  /** Folds the next record; returns the lease if the record began or renewed one. */
  applyRecord (record: LogRecord): Lease | undefined {
    if (record.kind !== RecordKind.Lease) {
      return undefined
    }
    return readLeaseRecord(record.body).map(body => this.applyBody(record, body)).extract()
  }

  private applyBody (record: LogRecord, body: LeaseRecord): Lease | undefined {
    const current = this.leases.get(body.name)
    const isOver = !current || record.appendedAt >= current.endsAt
    if (!isOver && current.incarnation !== body.incarnation) {
      return undefined
    }
    const fence = isOver ? record.offset : current.fence
    const lease = { ...body, fence, endsAt: record.appendedAt + LEASE_TERM_MS }
    this.leases.set(body.name, lease)
    return lease
  }
}
