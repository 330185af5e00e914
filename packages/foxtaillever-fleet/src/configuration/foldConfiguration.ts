/**
 * The deterministic fold of configuration records. Every reader that has read
 * to the same offset holds the same configuration; that is the agreement
 * between instances, without any vote of ours.
 */
import { RecordKind, type Configuration, type LogRecord } from 'foxtaillever-core'
import { applyChanges, isApplicable, type ConfigurationRecord, type SnapshotRecord } from './change.js'

/** What became of one record. */
export enum FoldOutcome {
  Accepted = 'accepted',
  /** It builds on a revision that was no longer in force (another operator was first), or cannot be applied. */
  Refused = 'refused',
  /** Not a configuration record, or one already covered. */
  Passed = 'passed'
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
    return { configuration, outcome: FoldOutcome.Passed }
  }
  return { configuration: body.configuration, outcome: FoldOutcome.Accepted }
}

const handlers: Partial<Record<RecordKind, (configuration: Configuration, record: LogRecord) => FoldStep>> = {
  [RecordKind.Configuration]: foldChanges,
  [RecordKind.Snapshot]: foldSnapshot
}

export function foldConfiguration (configuration: Configuration, record: LogRecord): FoldStep {
  const handler = handlers[record.kind]
  return handler ? handler(configuration, record) : { configuration, outcome: FoldOutcome.Passed }
}
