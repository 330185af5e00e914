/** Fetches missing records from other instances, with at most one call in flight for each topic. */
import type { Random } from 'foxtaillever-core'
import type { PeerLink } from '../peers/peerLink.js'
import type { Positions } from '../peers/peerMessage.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { RecordTable, RecordUpdate } from './recordTable.js'
import { formatPosition } from './storePosition.js'

/** Another instance and how far it has read; positions are undefined if no heartbeat of it was received. */
export interface PeerProgress {
  readonly address: string
  readonly positions: Positions | undefined
  /** Revision of its configuration in force; -1 for none or unknown. */
  readonly revision: number
}

/** The answer of another instance. */
export interface PeerAnswer extends RecordUpdate {
  /** Time as of which the other instance knew the servers' entries, milliseconds of Unix time. */
  readonly freshAt: number
}

export interface PeerRecordFetcherOptions {
  readonly random: Random
  readonly relayLog: RelayLog
  readonly link: () => Pick<PeerLink, 'fetchRecords'>
  readonly onAnswer: (topic: AnnouncedTopic, answer: PeerAnswer) => void
}

export class PeerRecordFetcher {
  private readonly pendingTopics = new Set<AnnouncedTopic>()

  private constructor (private readonly options: PeerRecordFetcherOptions) {}

  static create (options: PeerRecordFetcherOptions): PeerRecordFetcher {
    return new PeerRecordFetcher(options)
  }

  /** Queries a random instance that is ahead; before the first complete read, also instances whose positions are unknown. */
  fetchFromPeerAhead (topic: AnnouncedTopic, { isComplete, position }: RecordTable, peers: readonly PeerProgress[]): void {
    const ahead = peers.filter(({ positions }) => positions === undefined ? !isComplete : positions[topic] > position)
    this.fetchFromRandomPeer(ahead, topic, position)
  }

  /**
   * Queries an instance that has read no further and yet has a newer configuration:
   * the store was restored from a backup, and that instance has what was lost.
   */
  fetchNewerRouting (position: number, revision: number, peers: readonly PeerProgress[]): void {
    const newer = peers.filter(peer => peer.revision > revision && peer.positions !== undefined && peer.positions.operators <= position)
    this.fetchFromRandomPeer(newer, AnnouncedTopic.Operators, 0)
  }

  private fetchFromRandomPeer (peers: readonly PeerProgress[], topic: AnnouncedTopic, from: number): void {
    const chosen = peers[this.options.random.below(peers.length)]
    if (chosen) {
      this.fetchRecords(chosen.address, topic, from, -Infinity)
    }
  }

  async fetchRecords (address: string, topic: AnnouncedTopic, from: number, freshAt: number): Promise<void> {
    const { link, relayLog, onAnswer } = this.options
    if (this.pendingTopics.has(topic)) {
      return
    }
    this.pendingTopics.add(topic)
    const answer = await link().fetchRecords(address, topic, from).finally(() => this.pendingTopics.delete(topic))
    answer.caseOf({
      Left: ({ message }) => relayLog.trouble('Another instance does not send its records.', { peer: address, topic, reason: message }),
      Right: ({ records, position, keys }) => {
        if (position > from) {
          relayLog.belief('Takes records from another instance.', { peer: address, topic, from: formatPosition(from), position: formatPosition(position), records: records.length })
        }
        onAnswer(topic, { from, records, position, keys, freshAt })
      }
    })
  }
}
