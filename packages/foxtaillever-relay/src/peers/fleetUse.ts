/** Load that the other instances put on each backend server, as they last told it. */
import type { ServerUse } from './peerMessage.js'

interface Use {
  outstanding: number
  tokens: number
}

const nothing: Readonly<Use> = { outstanding: 0, tokens: 0 }

export class FleetUse {
  private readonly byPeer = new Map<string, readonly ServerUse[]>()
  private readonly sums = new Map<string, Use>()

  private constructor () {}

  static create (): FleetUse {
    return new FleetUse()
  }

  of (server: string): Readonly<Use> {
    return this.sums.get(server) ?? nothing
  }

  observe (peer: string, uses: readonly ServerUse[]): void {
    this.forget(peer)
    this.byPeer.set(peer, uses)
    this.add(uses, 1)
  }

  /** One that is not heard any more puts no load that anyone knows of. */
  retain (isAlive: (peer: string) => boolean): void {
    for (const peer of [...this.byPeer.keys()]) {
      if (!isAlive(peer)) {
        this.forget(peer)
      }
    }
  }

  private forget (peer: string): void {
    this.add(this.byPeer.get(peer) ?? [], -1)
    this.byPeer.delete(peer)
  }

  private add (uses: readonly ServerUse[], sign: 1 | -1): void {
    for (const { server, outstanding, tokens } of uses) {
      const sum = this.sums.get(server) ?? { outstanding: 0, tokens: 0 }
      sum.outstanding += sign * outstanding
      sum.tokens += sign * tokens
      if (sum.outstanding <= 0) {
        this.sums.delete(server)
      } else {
        this.sums.set(server, sum)
      }
    }
  }
}
