/**
 * Detects that no backend server is heard from while several should answer. Connections
 * that hang when links are cut show no error, and a single request waits for its whole
 * timeout; but all servers falling silent at once is unlikely to be the servers' doing.
 */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import type { KnownServer } from '../servers/knownServer.js'

/** Silence of all servers after which they are checked, milliseconds: some stream or answer arrives far more often. */
const SILENCE_MS = 250

/** Servers that must be waited for: one alone may be busy. */
const MIN_SERVERS = 2

/** Between two checks, milliseconds: with few requests in flight, silence is common. */
const CHECK_INTERVAL_MS = 500

/** The same while a link is known to be broken, milliseconds: others may be. */
const BROKEN_CHECK_INTERVAL_MS = 250

/** Servers that are checked, of different failure domains where possible; one of them may have failed itself. */
const CHECKED_SERVERS = 3

/** Shortest wait of the timer, milliseconds. */
const MIN_ARM_MS = 25

interface Wait {
  count: number
  since: number
}

export interface SilenceDetectorOptions {
  readonly clock: Clock
  /** When anything was last received from any server, milliseconds of Unix time. */
  readonly heardAt: () => number
  /** Whether an answer of the server is expected; not where its link is known to be broken. */
  readonly isExpected: (server: KnownServer) => boolean
  /** Whether any link is known to be broken. */
  readonly isAnyBroken: () => boolean
  /** Called with some servers that should have answered. */
  readonly onSilent: (servers: readonly KnownServer[]) => void
}

export class SilenceDetector {
  private readonly waits = new Map<KnownServer, Wait>()
  private nextCheckAt = -Infinity
  private isArmed = false
  private isStopped = false
  private cancel: Cancellation = () => {}

  private constructor (private readonly options: SilenceDetectorOptions) {}

  static create (options: SilenceDetectorOptions): SilenceDetector {
    return new SilenceDetector(options)
  }

  /** Counts a request that waits for the server. @returns a function that ends the wait; call it once. */
  beginWait (server: KnownServer): () => void {
    const wait = this.waits.get(server) ?? { count: 0, since: this.options.clock.now() }
    wait.count += 1
    this.waits.set(server, wait)
    this.arm()
    return () => {
      wait.count -= 1
      if (wait.count === 0) {
        this.waits.delete(server)
      }
    }
  }

  /** Checks the other silent servers without waiting for the interval, because a link was found to be broken. */
  checkSoon (): void {
    this.nextCheckAt = -Infinity
    this.cancel()
    this.isArmed = false
    this.arm()
  }

  stop (): void {
    this.isStopped = true
    this.cancel()
  }

  private arm (): void {
    if (this.isStopped || this.isArmed || this.waits.size < (this.options.isAnyBroken() ? 1 : MIN_SERVERS)) {
      return
    }
    const { clock, heardAt } = this.options
    this.isArmed = true
    const at = Math.max(clock.now() + MIN_ARM_MS, heardAt() + SILENCE_MS, this.nextCheckAt)
    this.cancel = atAfterSilence(clock, at, () => {
      this.isArmed = false
      this.check()
      this.arm()
    })
  }

  private check (): void {
    const { clock, heardAt, isExpected, isAnyBroken, onSilent } = this.options
    const now = clock.now()
    const silent = [...this.waits].filter(([server, { since }]) => since + SILENCE_MS <= now && isExpected(server)).map(([server]) => server)
    if (heardAt() + SILENCE_MS <= now && silent.length >= (isAnyBroken() ? 1 : MIN_SERVERS) && this.nextCheckAt <= now) {
      this.nextCheckAt = now + (isAnyBroken() ? BROKEN_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS)
      onSilent(this.pick(silent))
    }
  }

  private pick (servers: readonly KnownServer[]): readonly KnownServer[] {
    const ofDomains = [...new Map(servers.map(server => [server.listed.failureDomain, server])).values()]
    return [...ofDomains, ...servers.filter(server => !ofDomains.includes(server))].slice(0, CHECKED_SERVERS)
  }
}
