/**
 * A configuration with its offset in the log, as instances keep it, send it to
 * each other and write it into snapshot records.
 */
import { emptyConfiguration, type Configuration, type LogRecord } from 'foxtaillever-core'
import { digestOf } from './digest.js'

/** One accepted record. */
export interface AcceptedRevision {
  /** Offset of the record. */
  readonly revision: number
  readonly author: string
  /** Id of the record, by which its publisher finds it in the log. */
  readonly id: string
}

/** Accepted records kept with the configuration; more than operators publish in an hour. */
export const HISTORY_LENGTH = 64

export interface FoldedConfiguration {
  readonly configuration: Configuration
  /** All records up to this offset are folded in. */
  readonly offset: number
  readonly digest: string
  /** The last accepted records, oldest first. */
  readonly history: readonly AcceptedRevision[]
}

/**
 * The changes that a peer a few revisions behind needs: some hundred bytes instead
 * of hundreds of thousands for the whole configuration.
 */
export interface ConfigurationChanges {
  /** Accepted records in order; the first one builds on the revision of the peer that is behind. */
  readonly records: readonly LogRecord[]
  /** The folded offset after these records. */
  readonly offset: number
  readonly digest: string
}

export const emptyFold: FoldedConfiguration = {
  configuration: emptyConfiguration,
  offset: 0,
  digest: digestOf(emptyConfiguration),
  history: []
}

export function appendHistory (history: readonly AcceptedRevision[], accepted: AcceptedRevision): readonly AcceptedRevision[] {
  return [...history, accepted].slice(-HISTORY_LENGTH)
}

/** Whether the copy's digest matches its contents and its revision is not above its offset. */
export function isIntact (copy: FoldedConfiguration): boolean {
  return copy.configuration.revision <= copy.offset && digestOf(copy.configuration) === copy.digest
}
