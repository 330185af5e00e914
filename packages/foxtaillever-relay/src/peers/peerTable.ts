/** The other instances as this one hears them. */
import type { PeerMessage } from './peerMessage.js'

/** One instance, and when it was last heard. */
export interface Peer {
  readonly address: string
  readonly last: PeerMessage | undefined
  /** Milliseconds of Unix time; when it was first named, for one that was never heard. */
  readonly heardAt: number
}

/** Three beats may be lost before an instance counts as gone, milliseconds. */
const SILENT_MS = 3500

/** A datagram is not this late after a later one of the same machine, milliseconds. */
const LATE_MS = 1500

/** One that is cut off still sends retries of its own; it counts for this long, milliseconds. */
const COUNTED_MS = 30_000

/** One that was named but never heard is greeted for this long, milliseconds. */
const FORGOTTEN_MS = 120_000

export class PeerTable {
  private readonly peers = new Map<string, Peer>()

  private constructor () {}

  static create (): PeerTable {
    return new PeerTable()
  }

  /** An address at which an instance may be. */
  name (address: string, now: number): void {
    if (!this.peers.has(address)) {
      this.peers.set(address, { address, last: undefined, heardAt: now })
    }
  }

  /**
   * Takes a message in, unless it is a late one of an earlier process at the
   * address. Starts are told by the time of day, which may have stepped back
   * between two of them: what keeps coming after the known process fell silent
   * is the later process.
   * @returns whether it was taken.
   */
  hear (message: PeerMessage, now: number): boolean {
    const known = this.peers.get(message.address)
    const isLate = known?.last !== undefined && message.startedAt < known.last.startedAt && now < known.heardAt + LATE_MS
    if (!isLate) {
      this.peers.set(message.address, { address: message.address, last: message, heardAt: now })
    }
    return !isLate
  }

  /** Run at each beat. */
  expire (now: number): void {
    for (const [address, { heardAt }] of this.peers) {
      if (heardAt + FORGOTTEN_MS <= now) {
        this.peers.delete(address)
      }
    }
  }

  /** How many may be there, heard or not. */
  get size (): number {
    return this.peers.size
  }

  has (address: string): boolean {
    return this.peers.has(address)
  }

  /** What was last heard of the instance at the address. */
  last (address: string): PeerMessage | undefined {
    return this.peers.get(address)?.last
  }

  /** Everyone who may be there, heard or not. */
  all (): readonly Peer[] {
    return [...this.peers.values()]
  }

  /** Those heard of late that do not leave. */
  alive (now: number): PeerMessage[] {
    return this.all().flatMap(({ last, heardAt }) => last && !last.isLeaving && heardAt + SILENT_MS > now ? [last] : [])
  }

  /**
   * Those that are likely there and do not leave. In a large fleet a beat goes to
   * some of the others only, so silence says something after more beats.
   * @param receivers others that hear one beat.
   */
  likely (now: number, receivers: number): PeerMessage[] {
    const silentMs = SILENT_MS * Math.max(1, this.peers.size / receivers)
    return this.all().flatMap(({ last, heardAt }) => last && !last.isLeaving && heardAt + silentMs > now ? [last] : [])
  }

  /**
   * Instances to reckon with, this one included, also while they cannot be heard.
   * Addresses that were only named count too: parts of what all may do together
   * must not grow because a machine is cut off, and a stale address costs little.
   */
  known (now: number): number {
    return 1 + this.counted(now).length
  }

  /** Like known, or what the others know where that is more: one that has just started while the store is dark knows few by itself. */
  count (now: number): number {
    return Math.max(this.known(now), ...this.counted(now).map(({ last }) => last?.instances ?? 0))
  }

  /**
   * Addresses of those that were there of late and do not leave, in their order.
   * One that is cut off or starts again stays among them, so that what is
   * computed from them does not move with every silence.
   */
  lasting (now: number): string[] {
    return this.counted(now).flatMap(({ address, last }) => last?.isLeaving === true ? [] : [address]).sort()
  }

  /** Whether this instance knows as many as any of the others does. */
  knowsAll (now: number): boolean {
    return this.counted(now).some(({ last }) => last !== undefined) && this.known(now) >= this.count(now)
  }

  private counted (now: number): Peer[] {
    return this.all().filter(({ heardAt }) => heardAt + COUNTED_MS > now)
  }
}
