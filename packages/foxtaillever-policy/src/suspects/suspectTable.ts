/**
 * Requests that may crash the backend server that runs them.
 *
 * Now and then a request crashes each engine that runs it, and its caller sends it
 * again, perhaps through another instance. Each retry takes down a server and all
 * requests that run there. The symptom is servers that restart one after another
 * while the same prompt is in flight. So every request in flight at a crash is a
 * suspect: it is retried without another suspect on the same server, and one in
 * flight at a second crash is refused until a stored deadline. Suspects that finish
 * are cleared. Such a request costs two servers.
 *
 * Facts are sets that only grow until they expire, so instances may receive them in
 * any order and more than once.
 */
import { RecentMap } from '../collections/recentMap.js'

/** How long a suspicion lasts, milliseconds: callers resend within seconds, and later attempts are unrelated to the crash. */
const SUSPECT_MS = 120_000

/** Length of a quarantine, milliseconds: long enough for an operator to investigate, short enough that a wrong one ends by itself. */
const QUARANTINE_MS = 600_000

/** Default of the crashes after which a request is quarantined: by the second crash, suspects of the first were kept apart. */
const CRASHES_TO_QUARANTINE = 2

const MAX_FACTS = 1024

/** Maximum of facts announced to peers at once. */
const MAX_ANNOUNCED_FACTS = 64

/** A report disproves a crash only when it is this much newer than the loss, milliseconds, since clocks differ. */
const CLOCK_MARGIN_MS = 500

/** Maximum of crashes kept of one request; more are not needed to quarantine it. */
const MAX_CRASHES = 8

/** What instances announce to each other about a request. */
export interface SuspectFact {
  readonly fingerprint: string
  /** Crashes during which it was in flight, as `server/incarnation`. */
  readonly crashes: readonly string[]
  /** Those of the crashes that it is known not to have caused. */
  readonly cleared: readonly string[]
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
}

export enum Suspicion {
  None = 'none',
  Suspect = 'suspect',
  Quarantined = 'quarantined'
}

interface Crash {
  readonly id: string
  readonly server: string
  readonly incarnation: string
  /** Milliseconds of Unix time. */
  readonly at: number
}

function countUnclearedCrashes (fact: SuspectFact): number {
  return fact.crashes.filter(crash => !fact.cleared.includes(crash)).length
}

function union (a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])].slice(-MAX_CRASHES)
}

export class SuspectTable {
  private readonly facts = RecentMap.create<SuspectFact>(MAX_FACTS)
  /** Losses that this instance recorded as crashes and that may yet be disproved, by server. */
  private readonly unconfirmed = new Map<string, Crash>()

  private constructor (private readonly crashesToQuarantine: number) {}

  /** @param crashesToQuarantine crashes after which a request is quarantined. */
  static create (crashesToQuarantine = CRASHES_TO_QUARANTINE): SuspectTable {
    return new SuspectTable(crashesToQuarantine)
  }

  get size (): number {
    return this.facts.size
  }

  suspicionOf (fingerprint: string, now: number): Suspicion {
    const fact = this.facts.peek(fingerprint)
    if (!fact || fact.expiresAt <= now) {
      return Suspicion.None
    }
    const uncleared = countUnclearedCrashes(fact)
    if (uncleared >= this.crashesToQuarantine) {
      return Suspicion.Quarantined
    }
    return uncleared > 0 ? Suspicion.Suspect : Suspicion.None
  }

  /** Number of crashes that the request may have caused. */
  unclearedCrashesOf (fingerprint: string): number {
    const fact = this.facts.peek(fingerprint)
    return fact ? countUnclearedCrashes(fact) : 0
  }

  /** When the quarantine ends, milliseconds of Unix time. */
  quarantinedUntil (fingerprint: string): number {
    return this.facts.peek(fingerprint)?.expiresAt ?? 0
  }

  /** Records that the server was lost while it ran the request. */
  recordLoss (fingerprint: string, server: string, incarnation: string, now: number): void {
    const id = `${server}/${incarnation}`
    this.unconfirmed.set(server, { id, server, incarnation, at: now })
    this.merge({ fingerprint, crashes: [id], cleared: [], expiresAt: now + SUSPECT_MS }, now)
  }

  /** Records that the request succeeded: it caused none of the crashes so far. */
  clearSuspicion (fingerprint: string, now: number): void {
    const fact = this.facts.peek(fingerprint)
    if (fact) {
      this.merge({ ...fact, cleared: fact.crashes, expiresAt: now + SUSPECT_MS }, now)
    }
  }

  /** Records a server's report of its incarnation after the loss: if it is still the same, the server did not crash. */
  recordIncarnation (server: string, incarnation: string, madeAt: number, now: number): void {
    const crash = this.unconfirmed.get(server)
    if (!crash || madeAt <= crash.at + CLOCK_MARGIN_MS) {
      return
    }
    this.unconfirmed.delete(server)
    if (crash.incarnation === incarnation) {
      this.clearCrash(crash.id, now)
    }
  }

  /** The fact of a request, if one is known that has not expired. */
  factOf (fingerprint: string, now: number): SuspectFact | undefined {
    const fact = this.facts.peek(fingerprint)
    return fact && fact.expiresAt > now ? fact : undefined
  }

  /** Facts to announce to peers, newest first. */
  factsToAnnounce (now: number): SuspectFact[] {
    return this.facts.list()
      .map(([, fact]) => fact)
      .filter(({ expiresAt }) => expiresAt > now)
      .reverse()
      .slice(0, MAX_ANNOUNCED_FACTS)
  }

  receiveFacts (facts: readonly SuspectFact[], now: number): void {
    facts.filter(({ expiresAt }) => expiresAt > now).forEach(fact => this.merge(fact, now))
  }

  private merge (fact: SuspectFact, now: number): void {
    const known = this.facts.peek(fact.fingerprint)
    if (!known || known.expiresAt <= now) {
      this.facts.set(fact.fingerprint, fact)
      return
    }
    const merged = {
      fingerprint: fact.fingerprint,
      crashes: union(known.crashes, fact.crashes),
      cleared: union(known.cleared, fact.cleared),
      expiresAt: Math.max(known.expiresAt, fact.expiresAt)
    }
    const isNewlyProven = countUnclearedCrashes(known) < this.crashesToQuarantine && countUnclearedCrashes(merged) >= this.crashesToQuarantine
    this.facts.set(fact.fingerprint, isNewlyProven ? { ...merged, expiresAt: Math.max(merged.expiresAt, now + QUARANTINE_MS) } : merged)
  }

  private clearCrash (crash: string, now: number): void {
    const suspects = this.facts.list().map(([, fact]) => fact).filter(({ crashes }) => crashes.includes(crash))
    suspects.forEach(fact => this.merge({ ...fact, cleared: [crash] }, now))
  }
}
