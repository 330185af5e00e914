/** Decides which addresses can reach each other, for the members of one thread. */
import { Left } from 'purify-ts'
import { Failure, FailureCode } from 'foxtaillever-core'
import type { Datagrams, Peers } from 'foxtaillever-fleet'

export class Reachability {
  private groups: Readonly<Record<string, number>> = {}
  private readonly crashed = new Set<string>()

  private constructor () {}

  static create (): Reachability {
    return new Reachability()
  }

  setGroups (groups: Readonly<Record<string, number>>): void {
    this.groups = groups
  }

  crash (address: string): void {
    this.crashed.add(address)
  }

  isReachable (from: string, to: string): boolean {
    return !this.crashed.has(from) && (this.groups[from] ?? 0) === (this.groups[to] ?? 0)
  }

  /** Wraps datagrams so that those to unreachable addresses are lost. */
  limitDatagrams (address: string, datagrams: Datagrams): Datagrams {
    return {
      open: async listener => await datagrams.open(bytes => {
        if (!this.crashed.has(address)) {
          listener(bytes)
        }
      }),
      send: (to, bytes) => {
        if (this.isReachable(address, to)) {
          datagrams.send(to, bytes)
        }
      },
      close: async () => await datagrams.close()
    }
  }

  limitPeers (address: string, peers: Peers): Peers {
    const refused = Left(Failure.notRun(FailureCode.ConnectionRefused, 'Cut off.'))
    return {
      configuration: async to => this.isReachable(address, to) ? await peers.configuration(to) : refused,
      changes: async (to, revision) => this.isReachable(address, to) && peers.changes ? await peers.changes(to, revision) : refused,
      members: async to => this.isReachable(address, to) ? await peers.members(to) : refused
    }
  }
}
