/**
 * Calls between instances for what does not fit a datagram.
 */
import type { Either } from 'purify-ts'
import type { Failure } from 'foxtaillever-core'
import type { ConfigurationChanges, FoldedConfiguration } from '../configuration/foldedConfiguration.js'
import type { MemberEntry } from './member.js'

/** The narrow interface to another instance's procedures. */
export interface Peers {
  /** @param address the member's control address. */
  configuration: (address: string) => Promise<Either<Failure, FoldedConfiguration>>
  /** What was accepted since the revision; fails when the peer no longer knows. */
  changes?: (address: string, revision: number) => Promise<Either<Failure, ConfigurationChanges>>
  members: (address: string) => Promise<Either<Failure, readonly MemberEntry[]>>
}

/** What an instance answers to such calls. */
export interface PeerSource {
  configuration: () => FoldedConfiguration
  /** The changes since the revision; nothing when it lies too far back. */
  changesSince?: (revision: number) => ConfigurationChanges | undefined
  memberEntries: () => readonly MemberEntry[]
}
