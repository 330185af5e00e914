/**
 * Detects that no backend server is heard from while several should answer. Connections
 * that hang when links are cut show no error, and a single request waits for its whole
 * timeout; but all servers falling silent at once is unlikely to be the servers' doing.
 */
import { atAfterReading, type Cancellation, type Clock } from 'foxtaillever-core'
import type { KnownServer } from '../servers/knownServer.js'

/** Silence of all servers after which they are checked, milliseconds: some stream or answer arrives far more often. */
const SILENCE_MS = 250

/** Servers that must be waited for: one alone may be busy. */
const MIN_SERVERS = 2

/** Between two checks, milliseconds: with few requests in flight, silence is common. */
const CHECK_INTERVAL_MS = 1000

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
  /** Called with two servers that should have answered. */
  readonly onSilent: (servers: readonly KnownServer[]) => void
}

export class SilenceDetector {
  private readonly waits = new Map<KnownServer, Wait>()
  private checkedAt = -Infinity
  private isArmed = false
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

  stop (): void {
    this.isArmed = true
    this.cancel()
  }

  private arm (): void {
    if (this.isArmed || this.waits.size < MIN_SERVERS) {
      return
    }
    const { clock, heardAt } = this.options
    this.isArmed = true
    const at = Math.max(clock.now() + MIN_ARM_MS, heardAt() + SILENCE_MS, this.checkedAt + CHECK_INTERVAL_MS)
    this.cancel = atAfterReading(clock, at, () => {
      this.isArmed = false
      this.check()
      this.arm()
    })
  }

  private check (): void {
    const { clock, heardAt, isExpected, onSilent } = this.options
    const now = clock.now()
    const silent = [...this.waits].filter(([server, { since }]) => since + SILENCE_MS <= now && isExpected(server)).map(([server]) => server)
    if (heardAt() + SILENCE_MS <= now && silent.length >= MIN_SERVERS && this.checkedAt + CHECK_INTERVAL_MS <= now) {
      this.checkedAt = now
      onSilent(this.pick(silent))
    }
  }

  /** Two servers, of different failure domains where possible. */
  private pick (servers: readonly KnownServer[]): readonly KnownServer[] {
    const [first, ...others] = servers
    const second = others.find(({ listed }) => listed.failureDomain !== first?.listed.failureDomain) ?? others[0]
    return [first, second].flatMap(server => server ?? [])
  }
}
