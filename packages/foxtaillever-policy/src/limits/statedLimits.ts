/**
 * Rate limits that backend servers state for themselves. A server in need says
 * with each answer how many requests a second it takes from all instances
 * together; the limit holds until an answer to a later request states none.
 */
import { RecentMap } from '../collections/recentMap.js'

export interface StatedLimit {
  /** Requests from all instances together. */
  readonly perSecond: number
  /** When it was last stated, milliseconds of Unix time. */
  readonly at: number
}

interface Statement {
  /** Undefined once the server states no limit. */
  readonly perSecond: number | undefined
  readonly at: number
}

/** A limit in force that became another; undefined where there is none. */
export interface LimitChange {
  readonly before: number | undefined
  readonly after: number | undefined
}

/** A statement and whose it is. */
export interface ServerStatement extends Statement {
  /** Hash of the server's incarnation. */
  readonly server: number
}

/** Others are told for so long that a limit has ended, milliseconds: beats of all have come by then. */
const ENDED_TOLD_MS = 3000

/** Servers remembered: three times those of the largest fleet. */
const SERVER_BOUND = 2048

export class StatedLimits {
  /** By the hash of the server's incarnation. */
  private readonly statements = RecentMap.create<Statement>(SERVER_BOUND)

  private constructor () {}

  static create (): StatedLimits {
    return new StatedLimits()
  }

  /** The limit in force. */
  of (server: number): StatedLimit | undefined {
    const { perSecond, at } = this.statements.peek(String(server)) ?? {}
    return perSecond === undefined || at === undefined ? undefined : { perSecond, at }
  }

  /** Limits in force, and those that ended a moment ago. */
  toTell (now: number): ServerStatement[] {
    return this.statements.list()
      .filter(([, { perSecond, at }]) => perSecond !== undefined || at + ENDED_TOLD_MS > now)
      .map(([server, statement]) => ({ server: Number(server), ...statement }))
  }

  /**
   * Takes in a statement unless a newer one is known.
   * @param perSecond undefined where the server states no limit.
   * @param at when it was made, milliseconds of Unix time; for none, when the request was sent whose answer lacks it.
   * @returns how the limit in force changed; undefined where it is the same.
   */
  observe (server: number, perSecond: number | undefined, at: number): LimitChange | undefined {
    const key = String(server)
    const known = this.statements.peek(key)
    const before = known?.perSecond
    // The end of a limit keeps its time, so that it is not told for as long as the server answers.
    if ((before === undefined && perSecond === undefined) || (known && known.at >= at)) {
      return undefined
    }
    this.statements.set(key, { perSecond, at })
    return before === perSecond ? undefined : { before, after: perSecond }
  }
}
