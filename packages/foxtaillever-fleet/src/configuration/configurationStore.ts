/**
 * Holds the folded configuration of this instance. It moves forward only:
 * records that were read before, old snapshots and copies of peers that lag
 * change nothing, so a configuration that has been in force here never
 * reverts.
 */
import { RecordKind, type Configuration, type LogRecord } from 'foxtaillever-core'
import type { ConfigurationRecord, SnapshotRecord } from './change.js'
import { digestOf } from './digest.js'
import { foldConfiguration, FoldOutcome } from './foldConfiguration.js'
import { appendHistory, HISTORY_LENGTH, isIntact, nothingFolded, type AcceptedRevision, type ConfigurationChanges, type FoldedConfiguration } from './foldedConfiguration.js'
import { RecordBacklog } from './recordBacklog.js'

/** What became of a copy that a peer offered. */
export enum OfferOutcome {
  Taken = 'taken',
  Older = 'older',
  /** Its digest is not that of its contents. */
  Damaged = 'damaged',
  /** It contradicts what is folded here; only a fault brings this about. */
  Divergent = 'divergent'
}

export type ConfigurationListener = (folded: FoldedConfiguration) => void

export class ConfigurationStore {
  private folded = nothingFolded
  private readonly backlog = RecordBacklog.create()
  private readonly listeners = new Set<ConfigurationListener>()
  /** The last accepted records, for peers that are behind. */
  private recent: readonly LogRecord[] = []
  private divergences = 0

  private constructor () {}

  static create (): ConfigurationStore {
    return new ConfigurationStore()
  }

  /** The configuration in force here. */
  configuration (): Configuration {
    return this.folded.configuration
  }

  current (): FoldedConfiguration {
    return this.folded
  }

  /** Whether any configuration has been folded; without one nothing can be served. */
  isKnown (): boolean {
    return this.folded.configuration.revision > 0
  }

  /** Whether records are missing between what is folded and what the log still keeps. */
  hasGap (): boolean {
    return !this.backlog.isEmpty()
  }

  /** Times that a peer's copy or a snapshot contradicted this fold. */
  divergenceCount (): number {
    return this.divergences
  }

  /** Calls the listener after each change of the configuration in force. */
  onChange (listener: ConfigurationListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Folds one record; a reader of the log, called in order of offsets. */
  readonly take = (record: LogRecord): void => {
    if (record.offset <= this.folded.offset) {
      return
    }
    if (record.offset === this.folded.offset + 1 && this.backlog.isEmpty()) {
      this.moveTo(this.fold(this.folded, record))
      this.remember([record])
      return
    }
    this.backlog.add(record)
    this.closeGap(record)
  }

  /** Hears from the log's reader that records before this offset are gone unread. */
  readonly noteFirstKept = (first: number): void => {
    if (first > this.folded.offset + 1) {
      this.backlog.startAt(first)
    }
  }

  /** Takes a peer's copy when it stands further on in the log than this fold. */
  offer (copy: FoldedConfiguration): OfferOutcome {
    if (!isIntact(copy)) {
      return OfferOutcome.Damaged
    }
    if (this.contradicts(copy)) {
      this.divergences += 1
      return OfferOutcome.Divergent
    }
    if (copy.offset <= this.folded.offset) {
      return OfferOutcome.Older
    }
    this.moveTo(this.withBacklog(copy))
    return OfferOutcome.Taken
  }

  /** What was accepted since the revision, if it does not lie too far back. */
  changesSince (revision: number): ConfigurationChanges | undefined {
    const start = this.recent.findIndex(record => (record.body as ConfigurationRecord).base === revision)
    const { configuration, offset, digest } = this.folded
    const records = this.recent.slice(start)
    return start >= 0 && records.at(-1)?.offset === configuration.revision ? { records, offset, digest } : undefined
  }

  /** Folds a peer's changes on top of what is folded here; taken only when they end at the peer's digest. */
  offerChanges ({ records, offset, digest }: ConfigurationChanges): OfferOutcome {
    const first = records[0]?.body as ConfigurationRecord | undefined
    if (offset <= this.folded.offset || first?.base !== this.folded.configuration.revision) {
      return OfferOutcome.Older
    }
    const folded = records.reduce((state, record) => this.fold(state, record), this.folded)
    if (folded.digest !== digest) {
      return OfferOutcome.Damaged
    }
    const outcome = this.offer({ ...folded, offset })
    this.remember(records)
    return outcome
  }

  /** The accepted record with this id, as far back as the history goes. */
  acceptedRevision (id: string): AcceptedRevision | undefined {
    return this.folded.history.find(accepted => accepted.id === id)
  }

  /** Whether the history would still show a record accepted at this offset. */
  remembers (offset: number): boolean {
    const oldest = this.folded.history[0]
    return this.folded.history.length < HISTORY_LENGTH || (oldest !== undefined && oldest.revision <= offset)
  }

  private contradicts (copy: FoldedConfiguration): boolean {
    const ahead = copy.offset - this.folded.offset
    const newer = copy.configuration.revision - this.folded.configuration.revision
    if (newer === 0) {
      return copy.digest !== this.folded.digest
    }
    return ahead > 0 ? newer < 0 : copy.configuration.revision > this.folded.configuration.revision
  }

  private fold (folded: FoldedConfiguration, record: LogRecord): FoldedConfiguration {
    if (record.kind !== RecordKind.Configuration) {
      return { ...folded, offset: record.offset }
    }
    const { configuration, outcome } = foldConfiguration(folded.configuration, record)
    if (outcome !== FoldOutcome.Accepted) {
      return { ...folded, offset: record.offset }
    }
    const { author } = record.body as ConfigurationRecord
    const history = appendHistory(folded.history, { revision: record.offset, author, id: record.id })
    return { configuration, offset: record.offset, digest: digestOf(configuration), history }
  }

  /** Resumes after a gap when the record is a snapshot that covers it. */
  private closeGap (record: LogRecord): void {
    if (record.kind !== RecordKind.Snapshot) {
      return
    }
    const copy = toFolded(record.body as SnapshotRecord)
    if (copy === undefined || !isIntact(copy) || !this.backlog.joins(copy.offset)) {
      return
    }
    if (copy.configuration.revision < this.folded.configuration.revision) {
      this.divergences += 1
      return
    }
    this.moveTo(this.withBacklog(copy))
  }

  private withBacklog (copy: FoldedConfiguration): FoldedConfiguration {
    if (!this.backlog.joins(copy.offset)) {
      return copy
    }
    const reached = Math.max(copy.offset, this.backlog.lastOffset())
    const folded = this.backlog.takeAbove(copy.offset).reduce((state, record) => this.fold(state, record), copy)
    return { ...folded, offset: reached }
  }

  /** Keeps records that were accepted; after a jump the chain is broken, and peers then take the whole. */
  private remember (records: readonly LogRecord[]): void {
    const accepted = records.filter(({ offset }) => this.folded.history.some(({ revision }) => revision === offset))
    if (accepted.length > 0) {
      this.recent = [...this.recent, ...accepted].slice(-HISTORY_LENGTH)
    }
  }

  private moveTo (folded: FoldedConfiguration): void {
    const changed = folded.configuration.revision !== this.folded.configuration.revision
    this.folded = folded
    if (changed) {
      this.listeners.forEach(listener => listener(folded))
    }
  }
}

function toFolded (snapshot: SnapshotRecord): FoldedConfiguration | undefined {
  if (snapshot?.offset === undefined || snapshot.digest === undefined) {
    return undefined
  }
  return { configuration: snapshot.configuration, offset: snapshot.offset, digest: snapshot.digest, history: snapshot.history ?? [] }
}
