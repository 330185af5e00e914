/**
 * How many requests a server takes at a time, learned from its rejections.
 *
 * Load pattern: a server lets fewer requests wait, or runs fewer, than its entry says,
 * and fails if it has to reject many. A rejection lowers what is sent to it at a time,
 * and it rises again by small steps, so that few requests find out where the limit is.
 */
import { RecentMap } from '../collections/recentMap.js'

/** Part of the requests at the server that it gets after a rejection. */
const DECREASE = 0.7

/** Rejections within this time have the same cause: the requests were on their way, milliseconds. */
const SAME_CAUSE_MS = 100

/** Time after which one more request is sent at a time, milliseconds. */
const INCREASE_INTERVAL_MS = 250

const MAX_SERVERS = 2048

interface Learned {
  readonly slots: number
  /** Milliseconds of Unix time. */
  readonly at: number
}

export class LearnedSlots {
  /** By the hash of the server's incarnation. */
  private readonly learned = RecentMap.create<Learned>(MAX_SERVERS)

  private constructor () {}

  static create (): LearnedSlots {
    return new LearnedSlots()
  }

  /** @param outstanding requests that the server had, the rejected one included. */
  recordRejection (server: number, outstanding: number, now: number): void {
    const known = this.learned.peek(String(server))
    if (known && known.at + SAME_CAUSE_MS > now) {
      return
    }
    const slots = Math.min(outstanding, known ? grown(known, now) : outstanding)
    this.learned.set(String(server), { slots: Math.max(1, Math.floor(slots * DECREASE)), at: now })
  }

  /** @param slots by the server's entry. */
  slotsOf (server: number, slots: number, now: number): number {
    const known = this.learned.peek(String(server))
    return known ? Math.min(slots, grown(known, now)) : slots
  }
}

function grown ({ slots, at }: Learned, now: number): number {
  return slots + Math.floor(Math.max(0, now - at) / INCREASE_INTERVAL_MS)
}
