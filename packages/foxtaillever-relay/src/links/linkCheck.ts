/**
 * Finds out whether a backend server or this instance's link to it is at fault, by
 * probes of this instance and of others.
 */
import { waitUntil, type Random } from 'foxtaillever-core'
import type { KnownServer } from '../servers/knownServer.js'
import { reachableFrom } from '../servers/serverAvailability.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import { askPeers, FINDING_TIMEOUT_MS, isOwnLink, ProbeFinding, type PeerProbes } from './peerProbes.js'

/** Why a server is suspected to be out of reach. */
export enum Suspicion {
  /** No connection could be established. */
  Unreachable = 'unreachable',
  /** An established connection failed or was silent. */
  Unresponsive = 'unresponsive'
}

/** What a check finds out. */
export enum LinkFinding {
  /** Others reach the server. */
  OwnLink = 'own-link',
  /** This instance reaches the server, so only the connection failed. */
  ServerReached = 'server-reached',
  /** The server is not reached, but others are. */
  ServerFailed = 'server-failed',
  /** No server is reached, by this instance or by those that were asked. */
  NoneReached = 'none-reached'
}

/** Longest wait for the answer to a probe, milliseconds: a busy server or event loop answers within this. */
const PROBE_TIMEOUT_MS = 250

/** How long an own probe runs before other instances are asked to probe too, milliseconds. */
const PROBE_HEAD_START_MS = 60

/** Probes of several instances that a server answers at the same time end within this, milliseconds. */
const SIMULTANEOUS_MS = 60

/** How long an own probe runs if it is not answered, milliseconds: until the other instances' findings, and a moment longer. */
const OWN_PROBE_TIMEOUT_MS = PROBE_HEAD_START_MS + FINDING_TIMEOUT_MS + SIMULTANEOUS_MS

export interface LinkCheckOptions extends PeerProbes {
  readonly random: Random
  readonly directory: () => Pick<ServerDirectory, 'all' | 'heardAt' | 'recordHeard'>
  /** Probes the server over this instance's own links; never rejects. */
  readonly probe: (server: KnownServer, deadline: number) => Promise<boolean>
}

export class LinkCheck {
  private constructor (private readonly options: LinkCheckOptions) {}

  static create (options: LinkCheckOptions): LinkCheck {
    return new LinkCheck(options)
  }

  /** @returns whether the server answered over this instance's own links. */
  async probe (server: KnownServer, timeoutMs = PROBE_TIMEOUT_MS): Promise<boolean> {
    const { clock, directory, probe } = this.options
    const isReached = await probe(server, clock.now() + timeoutMs)
    if (isReached) {
      directory().recordHeard(server)
    }
    return isReached
  }

  /** Finds out whether this instance's link to the server is at fault, or the server. */
  async check (server: KnownServer, suspicion: Suspicion): Promise<LinkFinding> {
    const { clock } = this.options
    const beganAt = clock.now()
    const own = this.probe(server, OWN_PROBE_TIMEOUT_MS)
    if (suspicion === Suspicion.Unresponsive && await this.within(beganAt + PROBE_HEAD_START_MS, own)) {
      return LinkFinding.ServerReached
    }
    const isAnotherReached = this.reachesAnother(server)
    const isLinkBroken = isOwnLink(await askPeers(this.options, server))
    if (isLinkBroken === false) {
      return LinkFinding.ServerFailed
    }
    // The server may have begun to answer between the own probe and those of the other instances.
    const again = this.probe(server)
    const ownUntil = suspicion === Suspicion.Unresponsive ? beganAt + PROBE_TIMEOUT_MS : beganAt
    const isReached = await this.within(Math.max(ownUntil, clock.now() + SIMULTANEOUS_MS), own.then(async isReached => isReached || await again))
    if (isReached) {
      return LinkFinding.ServerReached
    }
    if (isLinkBroken === true) {
      return LinkFinding.OwnLink
    }
    return await isAnotherReached ? LinkFinding.ServerFailed : LinkFinding.NoneReached
  }

  /** Finds out for another instance whether the server is reached. */
  async find (server: KnownServer): Promise<ProbeFinding> {
    const isAnotherReached = this.reachesAnother(server)
    if (await this.probe(server)) {
      return ProbeFinding.Reached
    }
    return await isAnotherReached ? ProbeFinding.NotReached : ProbeFinding.Unknown
  }

  /** Probes another server, in another failure domain where there is one, unless one is heard meanwhile. */
  private async reachesAnother ({ hash, listed }: KnownServer): Promise<boolean> {
    const { clock, directory, random } = this.options
    const beganAt = clock.now()
    const others = directory().all().filter(server => server.hash !== hash && reachableFrom(server) <= beganAt)
    const elsewhere = others.filter(server => server.listed.failureDomain !== listed.failureDomain)
    const candidates = elsewhere.length > 0 ? elsewhere : others
    const other = candidates[random.below(Math.max(1, candidates.length))]
    return (other !== undefined && await this.probe(other)) || directory().heardAt > beganAt
  }

  /** @returns whether the probe was answered by the deadline, milliseconds of Unix time. */
  private async within (deadline: number, probe: Promise<boolean>): Promise<boolean> {
    return await Promise.race([probe, waitUntil(this.options.clock, deadline).then(() => false)])
  }
}
