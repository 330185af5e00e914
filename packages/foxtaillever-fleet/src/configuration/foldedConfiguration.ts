/**
 * A configuration together with where in the log it stands, as instances keep
 * it, pass it on to each other and write it into snapshot records.
 */
import { emptyConfiguration, type Configuration, type LogRecord } from 'foxtaillever-core'
import { digestOf } from './digest.js'

/** One accepted record. */
export interface AcceptedRevision {
  /** Offset of the record. */
  readonly revision: number
  readonly author: string
  /** The record's own id, by which a publisher finds it again. */
  readonly id: string
}

/** Accepted records kept beside the configuration; more than operators make in an hour. */
export const HISTORY_LENGTH = 64

export interface FoldedConfiguration {
  readonly configuration: Configuration
  /** Every record up to this offset has been folded in. */
  readonly offset: number
  readonly digest: string
  /** The last accepted records, oldest first. */
  readonly history: readonly AcceptedRevision[]
}

/**
 * What a peer that is a few revisions behind needs: some hundred bytes in place
 * of the whole configuration's hundreds of thousands.
 */
export interface ConfigurationChanges {
  /** Accepted records in order; the first builds on the peer's revision. */
  readonly records: readonly LogRecord[]
  /** Where the fold stands after them. */
  readonly offset: number
  readonly digest: string
}

export const nothingFolded: FoldedConfiguration = {
  configuration: emptyConfiguration,
  offset: 0,
  digest: digestOf(emptyConfiguration),
  history: []
}

export function appendHistory (history: readonly AcceptedRevision[], accepted: AcceptedRevision): readonly AcceptedRevision[] {
  return [...history, accepted].slice(-HISTORY_LENGTH)
}

/** Whether the copy's digest is that of its contents and its numbers agree. */
export function isIntact (copy: FoldedConfiguration): boolean {
  return copy.configuration.revision <= copy.offset && digestOf(copy.configuration) === copy.digest
}
