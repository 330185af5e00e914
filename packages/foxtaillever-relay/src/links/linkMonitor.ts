/**
 * Tells failures of backend servers from failures of this instance's own links.
 *
 * A failed connection or a silent server shows the same in both cases, and an instance
 * that blames the servers for its links passes over all of them and makes other
 * instances do so. So before anything is concluded from such a failure, the server is
 * probed here, and then through other instances: if one of them reaches it, the link
 * is at fault.
 */
import type { Cancellation, Random } from 'foxtaillever-core'
import { BrokenLinks, LinkState, type LinkedServer } from 'foxtaillever-policy/relay/brokenLinks'
import type { KnownServer } from '../servers/knownServer.js'
import { reachableFrom } from '../servers/serverAvailability.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LinkCheck, LinkFinding, Suspicion, type LinkCheckOptions } from './linkCheck.js'
import { isAnyReached, ProbeFinding } from './peerProbes.js'
import { SilenceDetector } from './silenceDetector.js'

/** Between two probes of a failure domain whose servers are out of reach, milliseconds. */
const RETURN_PROBE_INTERVAL_MS = 250

/** Servers of such a failure domain that are probed each time. */
const RETURN_PROBES = 2

/** Other servers of a failure domain that are checked once one is out of reach; one of them may have failed itself. */
const CHECKED_NEIGHBOURS = 2

/** A finding that a server itself has failed is valid for this long, milliseconds: as long as it is then passed over. */
const FINDING_VALID_MS = 300

/** Time for which links must be broken before duties that need them are handed over, milliseconds: a false alarm ends with the next probe. */
const LASTING_MS = 2 * RETURN_PROBE_INTERVAL_MS

export interface LinkMonitorOptions extends LinkCheckOptions {
  readonly log: Pick<RelayLog, 'belief'>
  readonly directory: () => Pick<ServerDirectory, 'all' | 'getByHash' | 'heardAt' | 'recordHeard'>
  /** The state of the links has changed; other instances must learn of it. */
  readonly onStateChanged: () => void
  /** More servers are out of reach; what waits for them over the own links may wait in vain. */
  readonly onBroken: () => void
}

/** What follows from the check of a failure. */
export interface FailureConclusions {
  /** The failure is the server's; not called when it is explained by the links. */
  readonly onServerAtFault?: () => void
  /** Nobody reached the server: it has failed, or this instance and those that were asked reach no server at all. */
  readonly onNotReached?: () => void
}

const isServerAtFault: Readonly<Record<LinkFinding, boolean>> = {
  [LinkFinding.OwnLink]: false,
  [LinkFinding.ServerReached]: true,
  [LinkFinding.ServerFailed]: true,
  [LinkFinding.NoneReached]: false
}

const isNotReached: Readonly<Record<LinkFinding, boolean>> = {
  [LinkFinding.OwnLink]: false,
  [LinkFinding.ServerReached]: false,
  [LinkFinding.ServerFailed]: true,
  [LinkFinding.NoneReached]: true
}

interface FailedServer {
  readonly finding: LinkFinding
  /** Milliseconds of Unix time. */
  readonly until: number
}

function conclude (waiting: readonly FailureConclusions[], finding: LinkFinding): void {
  waiting.forEach(({ onServerAtFault, onNotReached }) => {
    if (isServerAtFault[finding]) {
      onServerAtFault?.()
    }
    if (isNotReached[finding]) {
      onNotReached?.()
    }
  })
}

export class LinkMonitor {
  private readonly links = BrokenLinks.create()
  /** Conclusions that wait for the check of a server, by its hash. */
  private readonly checks = new Map<number, FailureConclusions[]>()
  /** Servers found to have failed themselves, by their hash. */
  private readonly failed = new Map<number, FailedServer>()
  private readonly linkCheck: LinkCheck
  private readonly silence: SilenceDetector
  /** Since when any link is broken, milliseconds of Unix time; Infinity while none is. */
  private brokenFrom = Infinity
  /** When links were last found to work again, milliseconds of Unix time; they explain failures of what began before. */
  private returnedAt = -Infinity
  private isProbing = false
  private isStopped = false
  private cancelProbes: Cancellation = () => {}

  private constructor (private readonly options: LinkMonitorOptions) {
    const { clock, directory } = options
    this.linkCheck = LinkCheck.create(options)
    this.silence = SilenceDetector.create({
      clock,
      heardAt: () => directory().heardAt,
      isAnyBroken: () => this.state !== LinkState.Sound,
      isExpected: server => this.brokenSince(server) === undefined,
      onSilent: servers => servers.forEach(server => this.suspect(server, Suspicion.Unresponsive, clock.now()))
    })
  }

  static create (options: LinkMonitorOptions): LinkMonitor {
    return new LinkMonitor(options)
  }

  get state (): LinkState {
    return this.links.state
  }

  /** Whether links have been broken for some time. */
  get isBrokenLastingly (): boolean {
    return this.options.clock.now() >= this.brokenFrom + LASTING_MS
  }

  /** Whether it is being checked why a server does not answer. */
  get isChecking (): boolean {
    return this.checks.size > 0
  }

  /** Since when the server is out of reach from here although others reach it, milliseconds of Unix time; undefined while it is not. */
  brokenSince (server: KnownServer): number | undefined {
    return this.links.brokenSince(linkOf(server))
  }

  /** Counts a request that waits for the server over this instance's own links. @returns a function that ends the wait. */
  beginWait (server: KnownServer): () => void {
    return this.silence.beginWait(server)
  }

  /**
   * Checks whether a failure at a server is due to this instance's links.
   * @param beganAt start of what failed, milliseconds of Unix time.
   */
  suspect (server: KnownServer, suspicion: Suspicion, beganAt: number, conclusions: FailureConclusions = {}): void {
    const now = this.options.clock.now()
    if (this.links.isBroken(linkOf(server)) || beganAt < this.returnedAt) {
      return
    }
    const failed = this.failed.get(server.hash)
    if ((failed?.until ?? 0) > now || reachableFrom(server) > now) {
      conclude([conclusions], failed?.finding ?? LinkFinding.ServerFailed)
      return
    }
    const waiting = this.checks.get(server.hash)
    if (waiting) {
      waiting.push(conclusions)
      return
    }
    this.checks.set(server.hash, [conclusions])
    this.linkCheck.check(server, suspicion).then(finding => this.finishCheck(server, finding), error => {
      this.options.log.belief('The check of a backend server failed.', { server: server.listed.id, reason: String(error) })
      this.finishCheck(server, LinkFinding.ServerReached)
    })
  }

  /** What this instance answers to another one that does not reach the server. */
  async findFor (hash: number): Promise<ProbeFinding> {
    const server = this.options.directory().getByHash(hash)
    if (!server || this.links.isBroken(linkOf(server))) {
      return ProbeFinding.Unknown
    }
    return await this.linkCheck.find(server)
  }

  stop (): void {
    this.isStopped = true
    this.cancelProbes()
    this.silence.stop()
  }

  private finishCheck (server: KnownServer, finding: LinkFinding): void {
    const now = this.options.clock.now()
    const waiting = this.checks.get(server.hash) ?? []
    this.checks.delete(server.hash)
    this.failed.forEach(({ until }, hash) => {
      if (until <= now) {
        this.failed.delete(hash)
      }
    })
    if (finding === LinkFinding.NoneReached) {
      // Broken links of this instance refuse connections too, so that a refusal does not show that the server has ended.
      server.refusedConnectionAt = 0
    }
    if (isServerAtFault[finding]) {
      this.failed.set(server.hash, { finding, until: now + FINDING_VALID_MS })
    } else {
      this.markBroken(server, finding)
    }
    this.options.log.belief('Checked a backend server.', { server: server.listed.id, finding, failures: waiting.length })
    conclude(waiting, finding)
  }

  private markBroken (server: KnownServer, finding: LinkFinding): void {
    const { clock, log, onBroken } = this.options
    const now = clock.now()
    server.unreachableUntil = 0
    this.changeState(() => this.links.recordBroken(linkOf(server), now))
    log.belief('A backend server is out of reach from here, but not for other instances.', { server: server.listed.id, failureDomain: server.listed.failureDomain, finding, links: LinkState[this.state] })
    onBroken()
    this.silence.checkSoon()
    this.checkNeighbours(server)
    if (!this.isProbing && !this.isStopped) {
      this.isProbing = true
      this.scheduleProbes()
    }
  }

  /** Checks other servers of the failure domain, so that no request has to find out that they are out of reach too. */
  private checkNeighbours ({ listed: { failureDomain } }: KnownServer): void {
    const { clock, directory, random } = this.options
    const now = clock.now()
    const neighbours = directory().all().filter(server => server.listed.failureDomain === failureDomain && reachableFrom(server) <= now && this.brokenSince(server) === undefined)
    rotate(neighbours, random).slice(0, CHECKED_NEIGHBOURS).forEach(server => this.suspect(server, Suspicion.Unresponsive, now))
  }

  private scheduleProbes (): void {
    const { clock } = this.options
    this.cancelProbes = clock.at(clock.now() + RETURN_PROBE_INTERVAL_MS, () => {
      this.probeBrokenDomains().catch((error: unknown) => {
        this.options.log.belief('Probing a failure domain that is out of reach failed.', { reason: String(error) })
      }).then(() => {
        this.isProbing = this.state !== LinkState.Sound && !this.isStopped
        if (this.isProbing) {
          this.scheduleProbes()
        }
      })
    })
  }

  /** Probes two servers of each failure domain that is out of reach, since one may have failed itself. */
  private async probeBrokenDomains (): Promise<void> {
    const { clock, directory, random } = this.options
    await Promise.all(this.links.failureDomains.map(async failureDomain => {
      const servers = directory().all().filter(server => server.listed.failureDomain === failureDomain && reachableFrom(server) <= clock.now())
      const probed = rotate(servers, random).slice(0, RETURN_PROBES)
      if (probed.length === 0 || await isAnyReached(probed.map(async server => await this.linkCheck.probe(server)))) {
        this.markSound(failureDomain, servers)
      }
    }))
  }

  private markSound (failureDomain: string, servers: readonly KnownServer[]): void {
    const [server] = servers
    const since = server && this.brokenSince(server)
    this.returnedAt = this.options.clock.now()
    this.changeState(() => this.links.recordSound(failureDomain))
    this.options.log.belief('Backend servers of a failure domain are within reach again.', { failureDomain, links: LinkState[this.state] })
    if (since !== undefined) {
      // Connections that were idle all the time may have been lost without notice.
      servers.forEach(({ connections }) => connections.closeIdleUntil(since))
    }
  }

  private changeState (change: () => void): void {
    const before = this.state
    change()
    if (this.state !== before) {
      this.brokenFrom = this.state === LinkState.Sound ? Infinity : Math.min(this.brokenFrom, this.options.clock.now())
      this.options.onStateChanged()
    }
  }
}

/** The same servers, beginning with a random one. */
function rotate (servers: readonly KnownServer[], random: Random): readonly KnownServer[] {
  const first = random.below(Math.max(1, servers.length))
  return [...servers.slice(first), ...servers.slice(0, first)]
}

function linkOf ({ hash, listed: { failureDomain } }: KnownServer): LinkedServer {
  return { hash, failureDomain }
}
