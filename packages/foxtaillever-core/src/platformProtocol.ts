/**
 * The platform's lagging list of instances and its stores, as this system uses
 * them.
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
  /** IP number and port. */
  readonly address: string
  readonly failureDomain: string
  readonly state: ListedState
}

/** The list of live and leaving instances; what it says is seconds old. */
export interface InstanceList {
  list: () => Promise<Either<Failure, readonly ListedInstance[]>>
}
