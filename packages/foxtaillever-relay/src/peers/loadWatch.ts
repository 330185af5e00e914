/** Load of the servers that this instance watches, by the instances that told it. */
import { noLoad, type ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ServerUse } from './peerMessage.js'

interface Told extends ServerLoad {
  /** Milliseconds of Unix time. */
  readonly at: number
}

/** Words are told again every second; without two of them the teller is gone, or another watches for it, milliseconds. */
const TOLD_MS = 2500

export class LoadWatch {
  /** By the server's hash, then by the teller's address. */
  private readonly told = new Map<number, Map<string, Told>>()

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
