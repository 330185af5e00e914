/**
 * Writes the folded configuration into the log again before the records it was
 * made from expire. Every instance keeps a deadline of its own, spread at
 * random; the first to reach it writes, and the others move theirs on when they
 * read that record. Without this a fleet that restarts after the retention
 * would find a log from which nothing can be folded.
 */
import { RecordKind, type Clock, type Log, type LogRecord, type Random } from 'foxtaillever-core'
import type { SnapshotRecord } from './change.js'
import type { ConfigurationStore } from './configurationStore.js'

/** Share of the retention after which a snapshot is due; leaves two thirds for outages of the log. */
const DUE_SHARE = 1 / 3

/** Share of the retention over which instances spread, so that seldom two write. */
const SPREAD_SHARE = 1 / 12

/** Pause before the next try when the log did not take it, milliseconds. */
const RETRY_MS = 5000

export class SnapshotWriter {
  /** Milliseconds of Unix time; none while nothing is configured. */
  private deadline = Infinity
  private written = 0

  private constructor (
    private readonly log: Log,
    private readonly store: ConfigurationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly retentionMs: number
  ) {}

  static create (log: Log, store: ConfigurationStore, clock: Clock, random: Random, retentionMs: number): SnapshotWriter {
    return new SnapshotWriter(log, store, clock, random, retentionMs)
  }

  /** When this instance writes next unless another does, milliseconds of Unix time. */
  dueAt (): number {
    return this.deadline
  }

  writtenCount (): number {
    return this.written
  }

  /** Sees every record, also those below a copy taken from a peer. */
  readonly take = (record: LogRecord): void => {
    const first = this.deadline === Infinity && record.kind === RecordKind.Configuration
    if (first || isUsable(record)) {
      this.deadline = record.appendedAt + this.retentionMs * (DUE_SHARE + SPREAD_SHARE * this.random.next())
    }
  }

  /** Run each tick. */
  tick (): void {
    if (this.clock.now() < this.deadline || !this.store.isKnown() || this.store.hasGap()) {
      return
    }
    this.deadline = this.clock.now() + RETRY_MS * (1 + this.random.next())
    this.write()
  }

  private write (): void {
    const { configuration, offset, digest, history } = this.store.current()
    const body: SnapshotRecord = { configuration, offset, digest, history }
    const id = `snapshot-${offset}-${this.random.below(2 ** 32).toString(16)}`
    this.written += 1
    // A lost answer needs no care: a second snapshot of one revision is harmless.
    this.log.append({ id, kind: RecordKind.Snapshot, writtenAt: this.clock.now(), body }).catch(() => {})
  }
}

/** A snapshot that names no offset cannot be started from, so it postpones nothing. */
function isUsable (record: LogRecord): boolean {
  return record.kind === RecordKind.Snapshot && (record.body as SnapshotRecord)?.offset !== undefined
}
