/**
 * Which backend servers an instance does not reach over its own links although other
 * instances do.
 *
 * Load pattern: an instance that loses its links to all servers still gets its share
 * of the requests, and each of them would wait for a timeout at one server after the
 * other. So the findings for a few servers are generalized: two servers of a failure
 * domain stand for the domain, and two domains for all servers.
 */

/** How much of the servers an instance reaches; the numbers are sent to other instances. */
export enum LinkState {
  Sound = 0,
  /** Servers of one failure domain are out of reach. */
  Partial = 1,
  /** Servers of several failure domains are out of reach. */
  Cut = 2
}

export interface LinkedServer {
  /** Hash of its incarnation. */
  readonly hash: number
  readonly failureDomain: string
}

interface BrokenDomain {
  /** Hashes of servers that were found to be out of reach. */
  readonly servers: Set<number>
  /** Milliseconds of Unix time. */
  readonly since: number
}

/** Servers out of reach in a failure domain from which on all its servers count as out of reach. */
const SERVERS_OF_BROKEN_DOMAIN = 2

/** Failure domains with servers out of reach from which on all servers count as out of reach. */
const DOMAINS_OF_CUT = 2

export class BrokenLinks {
  private readonly domains = new Map<string, BrokenDomain>()

  private constructor () {}

  static create (): BrokenLinks {
    return new BrokenLinks()
  }

  get state (): LinkState {
    if (this.domains.size === 0) {
      return LinkState.Sound
    }
    return this.domains.size < DOMAINS_OF_CUT ? LinkState.Partial : LinkState.Cut
  }

  /** Failure domains with servers out of reach. */
  get failureDomains (): string[] {
    return [...this.domains.keys()]
  }

  /** Records that this instance does not reach the server although others do. */
  recordBroken ({ hash, failureDomain }: LinkedServer, now: number): void {
    const known = this.domains.get(failureDomain) ?? { servers: new Set<number>(), since: now }
    known.servers.add(hash)
    this.domains.set(failureDomain, known)
  }

  /** Records that this instance reaches a server of the failure domain. */
  recordSound (failureDomain: string): void {
    this.domains.delete(failureDomain)
  }

  isBroken (server: LinkedServer): boolean {
    return this.brokenSince(server) !== undefined
  }

  /** Since when the server is out of reach, milliseconds of Unix time; undefined while it is not. */
  brokenSince ({ hash, failureDomain }: LinkedServer): number | undefined {
    const domain = this.domains.get(failureDomain)
    if (domain && (domain.servers.has(hash) || domain.servers.size >= SERVERS_OF_BROKEN_DOMAIN)) {
      return domain.since
    }
    return this.state === LinkState.Cut ? Math.min(...[...this.domains.values()].map(({ since }) => since)) : undefined
  }
}
