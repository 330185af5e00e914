/**
 * Calls between instances for what does not fit a datagram.
 */
import type { Either } from 'purify-ts'
import type { Failure } from 'foxtaillever-core'
import type { FoldedConfiguration } from '../configuration/foldedConfiguration.js'
import type { MemberEntry } from './member.js'

/** The narrow interface to another instance's procedures. */
export interface Peers {
  /** @param address the member's control address. */
  configuration: (address: string) => Promise<Either<Failure, FoldedConfiguration>>
  members: (address: string) => Promise<Either<Failure, readonly MemberEntry[]>>
}

/** What an instance answers to such calls. */
export interface PeerSource {
  configuration: () => FoldedConfiguration
  memberEntries: () => readonly MemberEntry[]
}
