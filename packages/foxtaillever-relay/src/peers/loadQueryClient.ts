/**
 * Queries the watchers of servers for load before an instance chooses a server.
 * The first watcher of each server is queried. A watcher that does not answer is
 * skipped for a while, because the second one receives every report too.
 */
import type { Clock } from 'foxtaillever-core'
import { DatagramKind } from './datagram.js'
import type { LoadResponse, LoadRequest, QueuePosition } from './loadMessage.js'
import { UnresponsivePeers } from './unresponsivePeers.js'

/** A watcher answers from memory. The round trip takes at most 2.8 ms, and the event loop of a slow machine adds up to 10. */
const ANSWER_TIMEOUT_MS = 15

/** A prompt level and its home server. */
export interface LevelAtHome {
  readonly level: number
  /** Hash of the server. */
  readonly home: number
}

/** What must be known before a server is chosen. */
export interface LoadQuery {
  /** Hashes of the servers. */
  readonly servers: readonly number[]
  /** The deepest shared level of the prompt, if levels are saved. */
  readonly level?: LevelAtHome | undefined
  /** Counts the tokens queued for admission before a request there; undefined for none of them. */
  readonly position?: QueuePosition | undefined
}

/** The part of a query that goes to one watcher. */
export interface WatcherRequest {
  readonly servers: number[]
  readonly levels: number[]
  readonly position?: QueuePosition | undefined
}

/** What a watcher knows about servers and levels. */
export type WatcherReport = Pick<LoadResponse, 'loads' | 'unreachable' | 'saved' | 'backingOff'>

interface PendingQuery {
  readonly waiting: Set<string>
  readonly resolve: () => void
}

export interface LoadQueryClientOptions {
  readonly clock: Clock
  readonly address: string
  /** Addresses of a server's watchers, by the server's hash. */
  readonly watchersOf: (server: number) => readonly string[]
  readonly send: (address: string, request: LoadRequest) => void
  /** Answers from what this instance knows as a watcher. */
  readonly answerLocally: (request: WatcherRequest) => WatcherReport
  /** Whether this instance has received every report that it should have as a watcher. */
  readonly isOwnDataComplete: () => boolean
  readonly onReport: (report: WatcherReport) => void
  /** Called when a watcher did not answer several requests in a row. */
  readonly onUnresponsive: (address: string) => void
}

export class LoadQueryClient {
  private readonly unresponsive: UnresponsivePeers
  private readonly pending = new Map<number, PendingQuery>()
  private number = 0

  private constructor (private readonly options: LoadQueryClientOptions) {
    this.unresponsive = UnresponsivePeers.create(options)
  }

  static create (options: LoadQueryClientOptions): LoadQueryClient {
    return new LoadQueryClient(options)
  }

  /**
   * Resolves when every watcher has answered or timed out; never rejects.
   * @returns hashes of the servers whose load was queried.
   */
  async query ({ servers, level, position }: LoadQuery): Promise<ReadonlySet<number>> {
    const queried = new Set(level === undefined ? servers : [...servers, level.home])
    const requests = this.plan(queried, level, position)
    const { address, answerLocally, onReport } = this.options
    const own = requests.get(address)
    if (own) {
      requests.delete(address)
      onReport(answerLocally(own))
    }
    if (requests.size > 0) {
      await this.send(requests)
    }
    return queried
  }

  handleResponse (answer: LoadResponse): void {
    const { address, number } = answer
    this.unresponsive.recordAnswer(address)
    this.options.onReport(answer)
    const pending = this.pending.get(number)
    if (pending?.waiting.delete(address) === true && pending.waiting.size === 0) {
      this.pending.delete(number)
      pending.resolve()
    }
  }

  /** Whether the instance is skipped because it did not answer. */
  isUnresponsive (address: string): boolean {
    return this.unresponsive.has(address)
  }

  /** Requests by the address of the watcher that gets them. */
  private plan (servers: ReadonlySet<number>, level: LevelAtHome | undefined, position: QueuePosition | undefined): Map<string, WatcherRequest> {
    const requests = new Map<string, WatcherRequest>()
    for (const server of servers) {
      const watcher = this.options.watchersOf(server).find(address => !this.isSkipped(address))
      if (watcher !== undefined) {
        const request = requests.get(watcher) ?? { servers: [], levels: [], position }
        request.servers.push(server)
        if (server === level?.home) {
          request.levels.push(level.level)
        }
        requests.set(watcher, request)
      }
    }
    return requests
  }

  private async send (requests: ReadonlyMap<string, WatcherRequest>): Promise<void> {
    const { clock, address, send } = this.options
    const number = this.number++
    const waiting = new Set(requests.keys())
    await new Promise<void>(resolve => {
      const cancel = clock.at(clock.now() + ANSWER_TIMEOUT_MS, () => this.expire(number))
      this.pending.set(number, { waiting, resolve: () => { cancel(); resolve() } })
      requests.forEach((request, watcher) => send(watcher, { kind: DatagramKind.LoadRequest, address, number, ...request }))
    })
  }

  private expire (number: number): void {
    const pending = this.pending.get(number)
    pending?.waiting.forEach(watcher => this.unresponsive.recordTimeout(watcher))
    this.pending.delete(number)
    pending?.resolve()
  }

  private isSkipped (address: string): boolean {
    if (address === this.options.address) {
      return !this.options.isOwnDataComplete()
    }
    return this.unresponsive.has(address)
  }
}
