/**
 * Requests that may crash the backend server that runs them.
 *
 * Now and then one request crashes each engine that runs it, and its caller
 * sends it again, perhaps through another instance. Each retry takes a server
 * and all that runs there. One notices servers that restart one after another
 * while the same prompt is in flight. So every request in flight at a crash is
 * a suspect: it is tried again with no other suspect beside it, and one seen in
 * a second crash is refused until a stored deadline. Those that finish are
 * cleared. One such request costs two servers.
 *
 * Facts are sets that only grow until they expire, so instances may share them
 * in any order and twice.
 */
import { RecentMap } from '../collections/recentMap.js'

/** Callers resend within seconds; after this a crash says nothing of the next try. */
const SUSPECT_MS = 120_000

/** Long enough for an operator to look, short enough that a wrong verdict heals by itself. */
const QUARANTINE_MS = 600_000

/** Crashes that prove it unless said otherwise: co-victims of two crashes are kept apart by then. */
const CRASHES_TO_QUARANTINE = 2

const FACT_BOUND = 1024

/** Told to peers at once. */
const SHARED_BOUND = 64

/** A report must be this much younger than the loss to disprove a crash; clocks differ. */
const CLOCK_MARGIN_MS = 500

/** More crashes than this are not needed to prove anything. */
const MOST_CRASHES = 8

/** What instances tell each other of one request. */
export interface SuspectFact {
  readonly fingerprint: string
  /** Crashes it was in flight at, as `server/incarnation`. */
  readonly crashes: readonly string[]
  /** Crashes that are known not to be its fault. */
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

function guiltOf (fact: SuspectFact): number {
  return fact.crashes.filter(crash => !fact.cleared.includes(crash)).length
}

function union (one: readonly string[], other: readonly string[]): string[] {
  return [...new Set([...one, ...other])].slice(-MOST_CRASHES)
}

export class SuspectTable {
  private readonly facts = RecentMap.create<SuspectFact>(FACT_BOUND)
  /** Crashes that this instance saw and that may yet be disproved, by server. */
  private readonly unproven = new Map<string, Crash>()

  private constructor (private readonly crashesToQuarantine: number) {}

  /** @param crashesToQuarantine crashes that prove it. */
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
    const guilt = guiltOf(fact)
    if (guilt >= this.crashesToQuarantine) {
      return Suspicion.Quarantined
    }
    return guilt > 0 ? Suspicion.Suspect : Suspicion.None
  }

  /** Crashes that speak against it. */
  guiltOf (fingerprint: string): number {
    const fact = this.facts.peek(fingerprint)
    return fact ? guiltOf(fact) : 0
  }

  /** When the quarantine ends, milliseconds of Unix time. */
  quarantinedUntil (fingerprint: string): number {
    return this.facts.peek(fingerprint)?.expiresAt ?? 0
  }

  /** The server was lost while it ran the request. */
  accuse (fingerprint: string, server: string, incarnation: string, now: number): void {
    const id = `${server}/${incarnation}`
    this.unproven.set(server, { id, server, incarnation, at: now })
    this.merge({ fingerprint, crashes: [id], cleared: [], expiresAt: now + SUSPECT_MS }, now)
  }

  /** The request ended well: no crash so far was its fault. */
  clear (fingerprint: string, now: number): void {
    const fact = this.facts.peek(fingerprint)
    if (fact) {
      this.merge({ ...fact, cleared: fact.crashes, expiresAt: now + SUSPECT_MS }, now)
    }
  }

  /** The server says, after the loss, which engine runs there: the same one did not crash. */
  observeIncarnation (server: string, incarnation: string, madeAt: number, now: number): void {
    const crash = this.unproven.get(server)
    if (!crash || madeAt <= crash.at + CLOCK_MARGIN_MS) {
      return
    }
    this.unproven.delete(server)
    if (crash.incarnation === incarnation) {
      this.disprove(crash.id, now)
    }
  }

  /** The fact of a request, if one is known that still holds. */
  factOf (fingerprint: string, now: number): SuspectFact | undefined {
    const fact = this.facts.peek(fingerprint)
    return fact && fact.expiresAt > now ? fact : undefined
  }

  /** Facts for the peers, youngest first. */
  toShare (now: number): SuspectFact[] {
    return this.facts.list()
      .map(([, fact]) => fact)
      .filter(({ expiresAt }) => expiresAt > now)
      .reverse()
      .slice(0, SHARED_BOUND)
  }

  observe (facts: readonly SuspectFact[], now: number): void {
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
    const isNewlyProven = guiltOf(known) < this.crashesToQuarantine && guiltOf(merged) >= this.crashesToQuarantine
    this.facts.set(fact.fingerprint, isNewlyProven ? { ...merged, expiresAt: Math.max(merged.expiresAt, now + QUARANTINE_MS) } : merged)
  }

  private disprove (crash: string, now: number): void {
    const accused = this.facts.list().map(([, fact]) => fact).filter(({ crashes }) => crashes.includes(crash))
    accused.forEach(fact => this.merge({ ...fact, cleared: [crash] }, now))
  }
}
