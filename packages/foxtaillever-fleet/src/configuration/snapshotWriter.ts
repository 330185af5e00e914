/**
 * Writes a snapshot of the folded configuration to the log before the records it
 * was folded from expire. Each instance has its own randomly spread deadline. The
 * first instance to reach its deadline writes, and the others postpone theirs when
 * they read that record. Without snapshots, a fleet that restarts after the
 * retention would find a log from which no configuration can be folded.
 */
import { RecordKind, type Clock, type Log, type LogRecord, type Random } from 'foxtaillever-core'
import type { SnapshotRecord } from './change.js'
import type { ConfigurationStore } from './configurationStore.js'

/** Share of the retention after which a snapshot is due; leaves two thirds for outages of the log. */
const DUE_SHARE = 1 / 3

/** Share of the retention over which deadlines are spread, so that two instances seldom write. */
const SPREAD_SHARE = 1 / 12

/** Delay before the next attempt if the snapshot does not appear in the log, milliseconds. */
const RETRY_MS = 5000

export class SnapshotWriter {
  /** Milliseconds of Unix time; infinite until a configuration has been read. */
  private writeAt = Infinity
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

  /** When this instance writes next unless another instance writes first, milliseconds of Unix time. */
  dueAt (): number {
    return this.writeAt
  }

  writtenCount (): number {
    return this.written
  }

  /** Sets or postpones the deadline. Gets every record, also those below the offset of a peer's copy. */
  readonly handleRecord = (record: LogRecord): void => {
    const first = this.writeAt === Infinity && record.kind === RecordKind.Configuration
    if (first || isUsableSnapshot(record)) {
      this.writeAt = record.appendedAt + this.retentionMs * (DUE_SHARE + SPREAD_SHARE * this.random.next())
    }
  }

  /** Run each tick. */
  tick (): void {
    if (this.clock.now() < this.writeAt || !this.store.hasConfiguration() || this.store.hasGap()) {
      return
    }
    this.writeAt = this.clock.now() + RETRY_MS * (1 + this.random.next())
    this.write()
  }

  private write (): void {
    const { configuration, offset, digest, history } = this.store.current()
    const body: SnapshotRecord = { configuration, offset, digest, history }
    const id = `snapshot-${offset}-${this.random.below(2 ** 32).toString(16)}`
    this.written += 1
    // A lost answer needs no handling: a second snapshot of the same revision is harmless.
    this.log.append({ id, kind: RecordKind.Snapshot, writtenAt: this.clock.now(), body }).catch(() => {})
  }
}

/** A reader cannot start from a snapshot without an offset, so such a snapshot postpones nothing. */
function isUsableSnapshot (record: LogRecord): boolean {
  return record.kind === RecordKind.Snapshot && (record.body as SnapshotRecord)?.offset !== undefined
}
