/** Asks other instances for records that this one lacks, one call for each topic at a time. */
import type { Random } from 'foxtaillever-core'
import type { PeerLink } from '../peers/peerLink.js'
import type { Positions } from '../peers/peerMessage.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { RecordTable, ToldSince } from './recordTable.js'
import { formatPosition } from './storePosition.js'

/** An instance that may be asked, and how far it is; unknown for one that was never heard. */
export interface KnowingPeer {
  readonly address: string
  readonly positions: Positions | undefined
  /** Of the configuration that it acts by; -1 for none or unknown. */
  readonly revision: number
}

/** What another instance told. */
export interface PeerAnswer extends ToldSince {
  /** The other knew the servers' entries as of then, milliseconds of Unix time. */
  readonly freshAt: number
}

export interface PeerAskingOptions {
  readonly random: Random
  readonly relayLog: RelayLog
  readonly link: () => Pick<PeerLink, 'fetchRecords'>
  readonly onAnswer: (topic: AnnouncedTopic, answer: PeerAnswer) => void
}

export class PeerAsking {
  private readonly open = new Set<AnnouncedTopic>()

  private constructor (private readonly options: PeerAskingOptions) {}

  static create (options: PeerAskingOptions): PeerAsking {
    return new PeerAsking(options)
  }

  /** Asks one of those that are ahead, or any that was never heard while nothing is known yet. */
  askAhead (topic: AnnouncedTopic, { isWhole, position }: RecordTable, peers: readonly KnowingPeer[]): void {
    const ahead = peers.filter(({ positions }) => positions === undefined ? !isWhole : positions[topic] > position)
    this.askOne(ahead, topic, position)
  }

  /**
   * Asks one that has read no further and yet has a newer configuration: the store
   * was restored from an older copy, and the other knows what was lost.
   */
  askForNewerRouting (position: number, revision: number, peers: readonly KnowingPeer[]): void {
    const newer = peers.filter(peer => peer.revision > revision && peer.positions !== undefined && peer.positions.operators <= position)
    this.askOne(newer, AnnouncedTopic.Operators, 0)
  }

  private askOne (peers: readonly KnowingPeer[], topic: AnnouncedTopic, from: number): void {
    const chosen = peers[this.options.random.below(peers.length)]
    if (chosen) {
      this.ask(chosen.address, topic, from, -Infinity)
    }
  }

  async ask (address: string, topic: AnnouncedTopic, from: number, freshAt: number): Promise<void> {
    const { link, relayLog, onAnswer } = this.options
    if (this.open.has(topic)) {
      return
    }
    this.open.add(topic)
    const told = await link().fetchRecords(address, topic, from)
    this.open.delete(topic)
    told.caseOf({
      Left: ({ message }) => relayLog.trouble('Another instance does not tell its records.', { peer: address, topic, reason: message }),
      Right: ({ records, position, keys }) => {
        if (position > from) {
          relayLog.belief('Takes records from another instance.', { peer: address, topic, from: formatPosition(from), position: formatPosition(position), records: records.length })
        }
        onAnswer(topic, { from, records, position, keys, freshAt })
      }
    })
  }
}
