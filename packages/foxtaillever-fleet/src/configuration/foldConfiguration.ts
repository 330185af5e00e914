/**
 * The deterministic fold of configuration records. Instances that have read the
 * log up to the same offset hold the same configuration, so they agree without a
 * consensus protocol of their own.
 */
import { RecordKind, type Configuration, type LogRecord } from 'foxtaillever-core'
import { applyChanges, isApplicable, type ConfigurationRecord, type SnapshotRecord } from './change.js'

/** Result of folding one record. */
export enum FoldOutcome {
  Accepted = 'accepted',
  /** The record builds on a revision that is no longer in force (another operator was first), or cannot be applied. */
  Refused = 'refused',
  /** Neither a configuration record nor a snapshot, or a snapshot that is no newer than the configuration. */
  Skipped = 'passed'
}

export interface FoldStep {
  readonly configuration: Configuration
  readonly outcome: FoldOutcome
}

function foldChanges (configuration: Configuration, record: LogRecord): FoldStep {
  const body = record.body as ConfigurationRecord
  if (body?.base !== configuration.revision) {
    return { configuration, outcome: FoldOutcome.Refused }
  }
  if (!Array.isArray(body.changes) || !body.changes.every(isApplicable)) {
    return { configuration, outcome: FoldOutcome.Refused }
  }
  const changed = applyChanges(configuration, body.changes)
  return { configuration: { ...changed, revision: record.offset }, outcome: FoldOutcome.Accepted }
}

function foldSnapshot (configuration: Configuration, record: LogRecord): FoldStep {
  const body = record.body as SnapshotRecord
  if (!(body?.configuration?.revision > configuration.revision)) {
    return { configuration, outcome: FoldOutcome.Skipped }
  }
  return { configuration: body.configuration, outcome: FoldOutcome.Accepted }
}

const handlers: Partial<Record<RecordKind, (configuration: Configuration, record: LogRecord) => FoldStep>> = {
  [RecordKind.Configuration]: foldChanges,
  [RecordKind.Snapshot]: foldSnapshot
}

export function foldConfiguration (configuration: Configuration, record: LogRecord): FoldStep {
  const handler = handlers[record.kind]
  return handler ? handler(configuration, record) : { configuration, outcome: FoldOutcome.Skipped }
}
