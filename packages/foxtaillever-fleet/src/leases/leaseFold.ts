/**
 * The deterministic fold of lease records: a name is held by one incarnation
 * until its term is over by the platform's clock. A record that comes too
 * early loses, whoever wrote it, so a predecessor is always waited out.
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

  /** Folds the next record; returns the lease when the record began or renewed one. */
  read (record: LogRecord): Lease | undefined {
    if (record.kind !== RecordKind.Lease) {
      return undefined
    }
    return readLeaseRecord(record.body).map(body => this.readBody(record, body)).extract()
  }

  private readBody (record: LogRecord, body: LeaseRecord): Lease | undefined {
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
