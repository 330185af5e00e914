/**
 * What the latest incarnations of each backend server have stated about themselves, by server id and start. A late
 * entry of a former incarnation may replace the current one until the server's next entry; what both have stated must
 * not be lost or mixed meanwhile.
 */
import { StatedAvailability } from 'foxtaillever-policy/relay/statedAvailability'

/** Incarnations that are kept of one server: more than start while the list lags. */
const MAX_INCARNATIONS = 8

/** A start of a server, and what it has stated. */
export interface Incarnation {
  /** Milliseconds of Unix time, by the clock of the server. */
  readonly startedAt: number
  readonly stated: StatedAvailability
}

export class IncarnationStatements {
  private readonly byId = new Map<string, Map<number, StatedAvailability>>()

  /** @param entryExpiryMs time in which a server that lives writes its entry again, milliseconds. */
  private constructor (private readonly entryExpiryMs: number) {}

  static create (entryExpiryMs: number): IncarnationStatements {
    return new IncarnationStatements(entryExpiryMs)
  }

  /**
   * What an incarnation has stated that takes the place of the current one. What was received since its start counts,
   * although it was recorded for an earlier incarnation: the start became known later.
   */
  succeed (id: string, startedAt: number, current: Incarnation | undefined, now: number): StatedAvailability {
    const incarnations = this.incarnationsOf(id)
    const stated = incarnations.get(startedAt) ?? StatedAvailability.create()
    incarnations.forEach((earlier, start) => {
      if (start < startedAt) {
        stated.merge(earlier.sinceStart(startedAt))
      }
    })
    if (current !== undefined && startedAt < current.startedAt) {
      this.holdBack(stated, current.stated, now)
    }
    keepLatest(incarnations, startedAt, stated)
    return stated
  }

  /**
   * An entry that names an earlier start is a late one of a former incarnation, or its server's clock was set back. The
   * server's next entry shows which; until then, what the current incarnation has stated holds.
   */
  private holdBack (stated: StatedAvailability, current: StatedAvailability, now: number): void {
    const until = current.isLeaving ? now + this.entryExpiryMs : current.reachableFrom
    if (until > now) {
      stated.recordBackoff(until, now)
    }
  }

  private incarnationsOf (id: string): Map<number, StatedAvailability> {
    const incarnations = this.byId.get(id) ?? new Map<number, StatedAvailability>()
    this.byId.set(id, incarnations)
    return incarnations
  }
}

/** Keeps the incarnations that were current last. */
function keepLatest (incarnations: Map<number, StatedAvailability>, startedAt: number, stated: StatedAvailability): void {
  incarnations.delete(startedAt)
  incarnations.set(startedAt, stated)
  const [oldest] = incarnations.keys()
  if (incarnations.size > MAX_INCARNATIONS && oldest !== undefined) {
    incarnations.delete(oldest)
  }
}
