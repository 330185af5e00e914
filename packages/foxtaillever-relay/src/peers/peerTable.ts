/** Table of the other instances, by the heartbeats received from them. */
import type { PeerMessage } from './peerMessage.js'

/** Another instance and the last message received from it. */
export interface Peer {
  readonly address: string
  readonly lastMessage: PeerMessage | undefined
  /** When the last message was received, or the address was added if none was; milliseconds of Unix time. */
  readonly receivedAt: number
}

/** Milliseconds without a heartbeat after which an instance counts as gone: three heartbeats may be lost. */
const SILENT_MS = 3500

/** A datagram never arrives this many milliseconds after a later one of the same machine. */
const LATE_MS = 1500

/** An instance that is cut off still sends retries of its own; it is counted for this many milliseconds. */
const COUNTED_MS = 30_000

/** An address that never sent a message still gets heartbeats for this many milliseconds. */
const EXPIRY_MS = 120_000

export class PeerTable {
  private readonly peers = new Map<string, Peer>()

  private constructor () {}

  static create (): PeerTable {
    return new PeerTable()
  }

  /** Adds an address at which an instance may be. */
  addAddress (address: string, now: number): void {
    if (!this.peers.has(address)) {
      this.peers.set(address, { address, lastMessage: undefined, receivedAt: now })
    }
  }

  /**
   * Records a message, unless it is a late one of an earlier process at the
   * address. Start times are taken from the wall clock, which may have stepped
   * back between two starts: messages that keep arriving after the known process
   * fell silent are from the later process.
   * @returns whether the message was recorded.
   */
  recordMessage (message: PeerMessage, now: number): boolean {
    const known = this.peers.get(message.address)
    const isLate = known?.lastMessage !== undefined && message.startedAt < known.lastMessage.startedAt && now < known.receivedAt + LATE_MS
    if (!isLate) {
      this.peers.set(message.address, { address: message.address, lastMessage: message, receivedAt: now })
    }
    return !isLate
  }

  /** Removes addresses that have been silent for too long; called with each heartbeat. */
  expire (now: number): void {
    for (const [address, { receivedAt }] of this.peers) {
      if (receivedAt + EXPIRY_MS <= now) {
        this.peers.delete(address)
      }
    }
  }

  /** Number of known addresses, whether or not a message arrived from them. */
  get size (): number {
    return this.peers.size
  }

  has (address: string): boolean {
    return this.peers.has(address)
  }

  /** The last message received from the instance at the address. */
  lastMessage (address: string): PeerMessage | undefined {
    return this.peers.get(address)?.lastMessage
  }

  /** All known addresses, whether or not a message arrived from them. */
  all (): readonly Peer[] {
    return [...this.peers.values()]
  }

  /** Instances with a recent message that are not leaving. */
  alive (now: number): PeerMessage[] {
    return this.all().flatMap(({ lastMessage, receivedAt }) => lastMessage && !lastMessage.isLeaving && receivedAt + SILENT_MS > now ? [lastMessage] : [])
  }

  /**
   * Instances that are probably alive and not leaving. In a large fleet a heartbeat
   * goes to some of the others only, so silence means little until more heartbeats
   * have passed.
   * @param receivers number of instances that receive one heartbeat.
   */
  likely (now: number, receivers: number): PeerMessage[] {
    const silentMs = SILENT_MS * Math.max(1, this.peers.size / receivers)
    return this.all().flatMap(({ lastMessage, receivedAt }) => lastMessage && !lastMessage.isLeaving && receivedAt + silentMs > now ? [lastMessage] : [])
  }

  /**
   * Number of instances, this one included, also while no message arrives from them.
   * Addresses that never sent a message count too: an instance's share of a common
   * limit must not grow because a machine is cut off, and a stale address costs little.
   */
  known (now: number): number {
    return 1 + this.counted(now).length
  }

  /** Like `known`, or the largest number that another instance reports: an instance that starts while the store is unreachable knows few by itself. */
  count (now: number): number {
    return Math.max(this.known(now), ...this.counted(now).map(({ lastMessage }) => lastMessage?.instances ?? 0))
  }

  /**
   * Sorted addresses of counted instances that are not leaving. An instance that is
   * cut off or restarts stays among them, so that what is computed from them does
   * not change with every silence.
   */
  lasting (now: number): string[] {
    return this.counted(now).flatMap(({ address, lastMessage }) => lastMessage?.isLeaving === true ? [] : [address]).sort()
  }

  /** Whether this instance knows at least as many instances as any other reports. */
  knowsAll (now: number): boolean {
    return this.counted(now).some(({ lastMessage }) => lastMessage !== undefined) && this.known(now) >= this.count(now)
  }

  private counted (now: number): Peer[] {
    return this.all().filter(({ receivedAt }) => receivedAt + COUNTED_MS > now)
  }
}
