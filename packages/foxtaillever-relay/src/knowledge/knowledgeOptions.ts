/** What the knowledge of the platform's store is made of. */
import type { Clock, Random } from 'foxtaillever-core'
import type { Reader } from 'foxtaillever-policy/relay/readSchedule'
import type { PeerLink } from '../peers/peerLink.js'
import type { ReadNotice } from '../peers/readNotice.js'
import type { ToldTopic } from '../peers/toldTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KeyedLog, KeyedRecord } from './keyedLog.js'
import type { KnowingPeer } from './peerAsking.js'

export interface KnowledgeOptions {
  readonly clock: Clock
  readonly random: Random
  /** A clock that counts suspension, seconds. */
  readonly wallSeconds: () => number
  readonly log: KeyedLog
  /** Names of the topics in the store. */
  readonly topics: Readonly<Record<ToldTopic, string>>
  readonly relayLog: RelayLog
  readonly link: () => Pick<PeerLink, 'ask'>
  readonly peers: () => readonly KnowingPeer[]
  /** This instance among those that read. */
  readonly self: Reader
  /** The others that the store answers. */
  readonly readers: () => readonly Reader[]
  /** Of the configuration that was taken in last; -1 before the first. */
  readonly revision: () => number
  /** The store was restored from an older copy. */
  readonly onRestored: () => void
  readonly notify: (notice: Omit<ReadNotice, 'address'>) => void
  /** Takes a record in; says whether it changed anything. */
  readonly onRecord: Readonly<Record<ToldTopic, (record: KeyedRecord) => boolean>>
}
