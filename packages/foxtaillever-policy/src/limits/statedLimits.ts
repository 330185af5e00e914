/**
 * Rate limits that backend servers state for themselves. An overloaded server states
 * in each answer how many requests a second it accepts from all instances together;
 * the limit holds until an answer to a later request states none.
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

/** A change of the limit in force; undefined where there is none. */
export interface LimitChange {
  readonly before: number | undefined
  readonly after: number | undefined
}

/** A statement and the server that made it. */
export interface ServerStatement extends Statement {
  /** Hash of the server's incarnation. */
  readonly server: number
}

/** How long the end of a limit is announced to other instances, milliseconds: all have sent a heartbeat by then. */
const ENDED_ANNOUNCED_MS = 3000

/** Maximum of remembered servers: three times those of the largest fleet. */
const MAX_SERVERS = 2048

export class StatedLimits {
  /** By the hash of the server's incarnation. */
  private readonly statements = RecentMap.create<Statement>(MAX_SERVERS)

  private constructor () {}

  static create (): StatedLimits {
    return new StatedLimits()
  }

  /** Whether any server has a limit in force. */
  get isAnyInForce (): boolean {
    return this.statements.list().some(([, { perSecond }]) => perSecond !== undefined)
  }

  /** The limit in force. */
  limitOf (server: number): StatedLimit | undefined {
    const { perSecond, at } = this.statements.peek(String(server)) ?? {}
    return perSecond === undefined || at === undefined ? undefined : { perSecond, at }
  }

  /** Limits in force, and those that ended within ENDED_ANNOUNCED_MS. */
  statementsToAnnounce (now: number): ServerStatement[] {
    return this.statements.list()
      .filter(([, { perSecond, at }]) => perSecond !== undefined || at + ENDED_ANNOUNCED_MS > now)
      .map(([server, statement]) => ({ server: Number(server), ...statement }))
  }

  /**
   * Records a statement unless a newer one is known.
   * @param perSecond undefined where the server states no limit.
   * @param at when the limit was stated, milliseconds of Unix time; without a limit, when the request was sent whose answer states none.
   * @returns how the limit in force changed; undefined where it is the same.
   */
  recordStatement (server: number, perSecond: number | undefined, at: number): LimitChange | undefined {
    const key = String(server)
    const known = this.statements.peek(key)
    const before = known?.perSecond
    // The end of a limit keeps its time; else each later answer would renew its announcement.
    if ((before === undefined && perSecond === undefined) || (known && known.at >= at)) {
      return undefined
    }
    this.statements.set(key, { perSecond, at })
    return before === perSecond ? undefined : { before, after: perSecond }
  }
}
