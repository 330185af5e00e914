/**
 * Requests that crash the backend servers that run them. One that does comes
 * again through any instance, under a new id, and takes a server with it each
 * time. What it is known by is what stays the same: path, account and body. The
 * losses of servers that ran it are told to all instances with their beats, and
 * at the third it is refused everywhere before it is sent.
 */
import { createHash } from 'node:crypto'
import { SuspectTable, Suspicion, type SuspectFact } from 'foxtaillever-policy/suspects/suspectTable'
import type { Exchange } from '../model/exchange.js'

/** Servers that a request may crash: one may crash by itself, two by chance. */
const CRASHES_TO_REFUSE = 3

/** Facts in one datagram, some 100 bytes each; those of most crashes go first. */
const MOST_TOLD = 12

/**
 * Places in a datagram for what happened here of late: with a server dozens of
 * requests are lost, one at each instance, and what an instance heard of the
 * others would leave no room for the one that only it knows.
 */
const MOST_OWN_TOLD = 6

/** What happened here goes first for this long, milliseconds: a beat reaches a third of a large fleet once a second. */
const OWN_FIRST_MS = 3000

/** Hexadecimal digits of a digest; 64 bits tell a day's requests apart. */
const DIGEST_DIGITS = 16

const SEPARATOR = '|'

export class CrashSuspects {
  private readonly table = SuspectTable.create(CRASHES_TO_REFUSE)
  private readonly digests = new WeakMap<Exchange, string>()
  /** When this instance accused a request last, milliseconds of Unix time. */
  private readonly accusedAt = new Map<string, number>()

  private constructor () {}

  static create (): CrashSuspects {
    return new CrashSuspects()
  }

  isRefused (exchange: Exchange, now: number): boolean {
    return this.table.size > 0 && this.table.suspicionOf(this.digestOf(exchange), now) === Suspicion.Quarantined
  }

  /** When a refused request may come back, milliseconds of Unix time. */
  refusedUntil (exchange: Exchange): number {
    return this.table.quarantinedUntil(this.digestOf(exchange))
  }

  /** Whether it was lost at more than one server already, so that this instance does not send it again by itself. */
  isDangerous (exchange: Exchange): boolean {
    return this.table.size > 0 && this.table.unclearedCrashesOf(this.digestOf(exchange)) > 1
  }

  /** The server was lost, or fell silent, while it had the request. */
  accuse (exchange: Exchange, server: string, now: number): void {
    const digest = this.digestOf(exchange)
    this.accusedAt.set(digest, now)
    this.table.recordLoss(digest, server, '', now)
  }

  /** The server answered the request whole, to a try that began then. */
  acquit (exchange: Exchange, server: string, beganAt: number, now: number): void {
    if (this.table.size > 0) {
      this.table.clearSuspicion(this.digestOf(exchange), now)
      // A restarted server has another id: this one is still the same.
      this.table.recordIncarnation(server, '', beganAt, now)
    }
  }

  /** What the other instances are to know. */
  toTell (now: number): string[] {
    this.accusedAt.forEach((at, digest) => {
      if (at + OWN_FIRST_MS <= now) {
        this.accusedAt.delete(digest)
      }
    })
    const own = [...this.accusedAt.keys()].flatMap(digest => this.table.factOf(digest, now) ?? []).sort(byGuilt).slice(0, MOST_OWN_TOLD)
    const others = this.table.factsToAnnounce(now).filter(fact => !own.includes(fact)).sort(byGuilt)
    return [...own, ...others]
      .slice(0, MOST_TOLD)
      .map(({ fingerprint, crashes, cleared, expiresAt }) => [fingerprint, crashes.join(), cleared.join(), Math.ceil(expiresAt - now)].join(SEPARATOR))
  }

  /** What another instance tells. */
  hear (told: readonly string[], now: number): void {
    this.table.receiveFacts(told.flatMap(text => readFact(text, now)), now)
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

function guiltOf ({ crashes, cleared }: SuspectFact): number {
  return crashes.filter(crash => !cleared.includes(crash)).length
}

function byGuilt (one: SuspectFact, other: SuspectFact): number {
  return guiltOf(other) - guiltOf(one)
}

/** Clocks of instances differ, so what is told is how long a fact holds. */
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
