/**
 * Detects requests that crash the backend servers that run them. The caller
 * retries such a request through any instance, under a new id, and each retry
 * crashes another server. It is recognized by a digest of what stays the same:
 * method, path, account and body. Heartbeats announce the servers lost while
 * they ran it to all instances, and after the third loss every instance refuses
 * it before it is sent.
 */
import { createHash } from 'node:crypto'
import { SuspectTable, Suspicion, type SuspectFact } from 'foxtaillever-policy/suspects/suspectTable'
import type { Exchange } from '../model/exchange.js'

/** Lost servers after which a request is refused: one may have crashed for another reason, two by coincidence. */
const CRASHES_TO_REFUSE = 3

/** Facts in one datagram, about 100 bytes each; those with the most crashes go first. */
const MAX_ANNOUNCED = 12

/**
 * Facts in a datagram that are reserved for recent losses at this instance. A
 * server that crashes loses dozens of requests, one at each instance, and the
 * facts received from others would leave no room for those known only here.
 */
const MAX_OWN_ANNOUNCED = 6

/** How long this instance's own losses go first, milliseconds: a heartbeat reaches a third of a large fleet once a second. */
const OWN_FIRST_PERIOD_MS = 3000

/** Hexadecimal digits of a digest; 64 bits distinguish the requests of a day. */
const DIGEST_DIGITS = 16

const SEPARATOR = '|'

export class CrashSuspects {
  private readonly table = SuspectTable.create(CRASHES_TO_REFUSE)
  private readonly digests = new WeakMap<Exchange, string>()
  /** When this instance last recorded a loss for a digest, milliseconds of Unix time. */
  private readonly lastLossAt = new Map<string, number>()

  private constructor () {}

  static create (): CrashSuspects {
    return new CrashSuspects()
  }

  isRefused (exchange: Exchange, now: number): boolean {
    return this.table.size > 0 && this.table.suspicionOf(this.digestOf(exchange), now) === Suspicion.Quarantined
  }

  /** When the caller may retry a refused request, milliseconds of Unix time. */
  refusedUntil (exchange: Exchange): number {
    return this.table.quarantinedUntil(this.digestOf(exchange))
  }

  /** Whether the request was already lost at more than one server, so that this instance does not retry it. */
  wasLostRepeatedly (exchange: Exchange): boolean {
    return this.table.size > 0 && this.table.unclearedCrashesOf(this.digestOf(exchange)) > 1
  }

  /** Records that the server was lost, or stopped answering, while it had the request. */
  recordLoss (exchange: Exchange, server: string, now: number): void {
    const digest = this.digestOf(exchange)
    this.lastLossAt.set(digest, now)
    this.table.recordLoss(digest, server, '', now)
  }

  /**
   * Records that the server answered the request completely.
   * @param beganAt start of the attempt that was answered, milliseconds of Unix time.
   */
  clearSuspicion (exchange: Exchange, server: string, beganAt: number, now: number): void {
    if (this.table.size > 0) {
      this.table.clearSuspicion(this.digestOf(exchange), now)
      // A restarted server has another id, so a server that answers under this id has not crashed.
      this.table.recordIncarnation(server, '', beganAt, now)
    }
  }

  /** The facts that the next heartbeat announces to other instances. */
  factsToAnnounce (now: number): string[] {
    this.lastLossAt.forEach((at, digest) => {
      if (at + OWN_FIRST_PERIOD_MS <= now) {
        this.lastLossAt.delete(digest)
      }
    })
    const own = [...this.lastLossAt.keys()].flatMap(digest => this.table.factOf(digest, now) ?? []).sort(byUnclearedCrashes).slice(0, MAX_OWN_ANNOUNCED)
    const others = this.table.factsToAnnounce(now).filter(fact => !own.includes(fact)).sort(byUnclearedCrashes)
    return [...own, ...others]
      .slice(0, MAX_ANNOUNCED)
      .map(({ fingerprint, crashes, cleared, expiresAt }) => [fingerprint, crashes.join(), cleared.join(), Math.ceil(expiresAt - now)].join(SEPARATOR))
  }

  /** Applies the facts that another instance announced. */
  receiveFacts (facts: readonly string[], now: number): void {
    this.table.receiveFacts(facts.flatMap(text => readFact(text, now)), now)
  }

  private digestOf (exchange: Exchange): string {
    const known = this.digests.get(exchange)
    if (known !== undefined) {
      return known
    }
    const { method, path, account, body } = exchange
    const digest = createHash('sha1').update(`${method} ${path}\n${account?.name ?? ''}\n`).update(body).digest('hex').slice(0, DIGEST_DIGITS)
    this.digests.set(exchange, digest)
    return digest
  }
}

function unclearedCrashes ({ crashes, cleared }: SuspectFact): number {
  return crashes.filter(crash => !cleared.includes(crash)).length
}

function byUnclearedCrashes (a: SuspectFact, b: SuspectFact): number {
  return unclearedCrashes(b) - unclearedCrashes(a)
}

/** Parses a fact. The clocks of instances differ, so a fact states its remaining lifetime instead of its expiry. */
function readFact (text: unknown, now: number): SuspectFact[] {
  const [fingerprint = '', crashes = '', cleared = '', left = ''] = String(text).split(SEPARATOR)
  const leftMs = Number(left)
  if (fingerprint === '' || !(leftMs > 0)) {
    return []
  }
  return [{ fingerprint, crashes: readList(crashes), cleared: readList(cleared), expiresAt: now + leftMs }]
}

function readList (text: string): string[] {
  return text === '' ? [] : text.split(',')
}
