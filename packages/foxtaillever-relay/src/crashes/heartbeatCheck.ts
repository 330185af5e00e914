/**
 * Finds out from the platform's store whether a backend server is alive although it is not
 * reached. A server that has ended writes its entry no more; one whose connections are reset on
 * their way, or by itself, goes on.
 */
import { waitUntil, type Clock } from 'foxtaillever-core'
import type { KeyedLog } from '../knowledge/keyedLog.js'
import type { RecordReaders } from '../relayOptions.js'
import { incarnationHash, type KnownServer } from '../servers/knownServer.js'

/** Time to wait for the next entry, as a multiple of the interval at which servers write theirs approximately. */
const WAIT_FACTOR = 1.5

/** Checks at the same time, two calls to the store each. */
const MAX_CHECKS = 16

export interface HeartbeatCheckOptions {
  readonly clock: Clock
  readonly log: Pick<KeyedLog, 'read'>
  /** Topic of the servers' entries. */
  readonly topic: string
  readonly readServer: RecordReaders['server']
  /** Interval at which servers write their entries, milliseconds. */
  readonly heartbeatMs: number
  /** Up to where the topic is known here. */
  readonly position: () => number
  /** By the hash of its incarnation; undefined once it has left. */
  readonly serverOf: (hash: number) => Pick<KnownServer, 'hash' | 'listed'> | undefined
}

export class HeartbeatCheck {
  private running = 0

  private constructor (private readonly options: HeartbeatCheckOptions) {}

  static create (options: HeartbeatCheckOptions): HeartbeatCheck {
    return new HeartbeatCheck(options)
  }

  /**
   * @param hash hash of the server's incarnation.
   * @returns whether it wrote its entry after this call; false also if the store does not tell, or too many are checked. Never rejects.
   */
  async isBeating (hash: number): Promise<boolean> {
    const server = this.options.serverOf(hash)
    if (server === undefined || this.running >= MAX_CHECKS) {
      return false
    }
    this.running += 1
    const isFound = await this.findNextEntry(server)
    this.running -= 1
    return isFound
  }

  private async findNextEntry ({ hash, listed: { id } }: Pick<KnownServer, 'hash' | 'listed'>): Promise<boolean> {
    const { clock, log, topic, heartbeatMs, position, readServer } = this.options
    const beganAt = clock.now()
    const before = await log.read(topic, position(), 0)
    const end = before.map(({ next, isGap }) => isGap ? undefined : next).orDefault(undefined)
    if (end === undefined) {
      return false
    }
    await waitUntil(clock, beganAt + heartbeatMs * WAIT_FACTOR)
    const after = await log.read(topic, end, 0)
    return after
      .map(({ records }) => records.some(({ key, value }) => key === id && value !== undefined && readServer(key, value).map(entry => incarnationHash(entry) === hash).orDefault(false)))
      .orDefault(false)
  }
}
