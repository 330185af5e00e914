/** Dependencies of the replica of the platform's store. */
import type { Clock, Random } from 'foxtaillever-core'
import type { Reader } from 'foxtaillever-policy/relay/readSchedule'
import type { PeerLink } from '../peers/peerLink.js'
import type { ReadNotice } from '../peers/readNotice.js'
import type { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KeyedLog, KeyedRecord } from './keyedLog.js'
import type { PeerProgress } from './peerRecordFetcher.js'

export interface StoreReplicaOptions {
  readonly clock: Clock
  readonly random: Random
  /** A clock that advances during a suspension, seconds. */
  readonly wallSeconds: () => number
  readonly log: KeyedLog
  /** Names of the topics in the store. */
  readonly topics: Readonly<Record<AnnouncedTopic, string>>
  readonly relayLog: RelayLog
  readonly link: () => Pick<PeerLink, 'fetchRecords'>
  readonly peers: () => readonly PeerProgress[]
  /** Time within which a configuration must be in force, milliseconds. */
  readonly configurationBoundMs: number
  /** This instance as a reader of the store. */
  readonly self: Reader
  /** Other instances that the store answers. */
  readonly readers: () => readonly Reader[]
  /** Revision of the configuration that was applied last; -1 before the first. */
  readonly revision: () => number
  /** Called when the store was restored from a backup. */
  readonly onRestored: () => void
  readonly notify: (notice: Omit<ReadNotice, 'address'>) => void
  /** Applies a record and returns whether it changed anything. */
  readonly onRecord: Readonly<Record<AnnouncedTopic, (record: KeyedRecord) => boolean>>
}
