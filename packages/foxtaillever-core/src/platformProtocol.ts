/**
 * The platform's list of instances, as this system uses it.
 */
import type { Either } from 'purify-ts'
import type { Failure } from './verdict.js'

export enum ListedState {
  Live = 'live',
  Leaving = 'leaving'
}

export enum ListedKind {
  EntryInstance = 'entry-instance',
  BackendServer = 'backend-server'
}

export interface ListedInstance {
  readonly name: string
  readonly kind: ListedKind
  /** IP address and port. */
  readonly address: string
  readonly failureDomain: string
  readonly state: ListedState
}

/** The list of live and leaving instances; it lags by seconds. */
export interface InstanceList {
  list: () => Promise<Either<Failure, readonly ListedInstance[]>>
}
