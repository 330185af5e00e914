/**
 * Calls between instances for data that does not fit into a datagram.
 */
import type { Either } from 'purify-ts'
import type { Failure } from 'foxtaillever-core'
import type { ConfigurationChanges, FoldedConfiguration } from '../configuration/foldedConfiguration.js'
import type { MemberEntry } from './member.js'

/** Client for the procedures of other instances. */
export interface Peers {
  /** @param address the member's control address. */
  configuration: (address: string) => Promise<Either<Failure, FoldedConfiguration>>
  /** The changes accepted since the revision; fails when the peer no longer has them. */
  changes?: (address: string, revision: number) => Promise<Either<Failure, ConfigurationChanges>>
  members: (address: string) => Promise<Either<Failure, readonly MemberEntry[]>>
}

/** The data that an instance answers calls with. */
export interface PeerSource {
  configuration: () => FoldedConfiguration
  /** The changes since the revision; undefined when it is too old. */
  changesSince?: (revision: number) => ConfigurationChanges | undefined
  memberEntries: () => readonly MemberEntry[]
}
