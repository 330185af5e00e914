/** What instances told of the servers that this one watches: their load, who could not reach them or was asked for rest, and which levels at home there were saved. */
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { noLoad, type ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ServerUse } from './peerMessage.js'

interface Told extends ServerLoad {
  /** Milliseconds of Unix time. */
  readonly at: number
}

/** Words are told again every second; without two of them the teller is gone, or another watches for it, milliseconds. */
const TOLD_MS = 2500

/** A server that took no connection is tried again after this, milliseconds: processes restart within some seconds. */
const UNREACHABLE_MS = 1000

/** A server that asks one instance for rest would ask the next; soon after it may be well again, milliseconds. */
const RESTING_MS = 500

/** One instance alone that reaches a server no more may be cut off itself. */
const LEAST_TELLERS = 2

export class LoadWatch {
  /** By the server's hash, then by the teller's address. */
  private readonly told = new Map<number, Map<string, Told>>()
  /** Levels at home at these servers that were saved to their store. */
  readonly saved = SavedLevels.create()
  /** When a server could not be reached, milliseconds of Unix time; by its hash, then by the teller's address. */
  private readonly unreached = new Map<number, Map<string, number>>()

  /** Until when servers that asked for rest are passed over, milliseconds of Unix time; by the server's hash. */
  private readonly restingUntil = new Map<number, number>()

  private constructor () {}

  static create (): LoadWatch {
    return new LoadWatch()
  }

  hear (teller: string, loads: readonly ServerUse[], now: number): void {
    for (const { server, ...load } of loads) {
      const words = this.told.get(server) ?? new Map<string, Told>()
      this.told.set(server, words)
      if (load.outstanding > 0) {
        words.set(teller, { ...load, at: now })
      } else {
        words.delete(teller)
      }
    }
  }

  hearUnreachable (teller: string, servers: readonly number[], now: number): void {
    if (servers.length > 0) {
      this.forgetReached(now)
    }
    for (const server of servers) {
      const tellers = this.unreached.get(server) ?? new Map<string, number>()
      this.unreached.set(server, tellers.set(teller, now))
    }
  }

  /** Whether several instances could not reach the server a moment ago. */
  isUnreachable (server: number, now: number): boolean {
    const times = [...this.unreached.get(server)?.values() ?? []]
    return times.filter(at => at + UNREACHABLE_MS > now).length >= LEAST_TELLERS
  }

  hearResting (servers: readonly number[], now: number): void {
    this.restingUntil.forEach((until, server) => {
      if (until <= now) {
        this.restingUntil.delete(server)
      }
    })
    servers.forEach(server => this.restingUntil.set(server, now + RESTING_MS))
  }

  /** Whether the server asked any instance for rest a moment ago. */
  isResting (server: number, now: number): boolean {
    return (this.restingUntil.get(server) ?? 0) > now
  }

  /** Servers that are gone for good are never asked for again; their words must not gather. */
  private forgetReached (now: number): void {
    for (const [server, tellers] of this.unreached) {
      tellers.forEach((at, teller) => {
        if (at + UNREACHABLE_MS <= now) {
          tellers.delete(teller)
        }
      })
      if (tellers.size === 0) {
        this.unreached.delete(server)
      }
    }
  }

  /** @param except the one who asks knows its own part better. */
  sumOf (server: number, except: string, now: number): ServerLoad {
    let { outstanding, tokens, heldTokens } = noLoad
    const words = this.told.get(server) ?? new Map<string, Told>()
    for (const [teller, word] of words) {
      if (word.at + TOLD_MS <= now) {
        words.delete(teller)
      } else if (teller !== except) {
        outstanding += word.outstanding
        tokens += word.tokens
        heldTokens += word.heldTokens
      }
    }
    return { outstanding, tokens, heldTokens }
  }
}
