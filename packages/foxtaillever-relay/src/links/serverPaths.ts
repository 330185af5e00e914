/** Chooses the way to a backend server: over this instance's own links, or through another instance while these are broken. */
import type { IncomingHttpHeaders } from 'node:http'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import type { RequestCauses } from '../crashes/lostRequests.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerChannel } from '../servers/serverConnections.js'
import type { ForwardingClient } from './forwardingClient.js'
import { readReportedFailure } from './forwardingMessage.js'
import type { Suspicion } from './linkCheck.js'
import type { FailureConclusions, LinkMonitor } from './linkMonitor.js'

export interface ServerPath {
  readonly channel: ServerChannel
  /** Address of the instance that carries the request; undefined for this instance's own links. */
  readonly forwarder: string | undefined
  /** Reads the failure that the other instance reports; undefined for this instance's own links. */
  readonly readFailure: ((headers: IncomingHttpHeaders) => AttemptFailure | undefined) | undefined
}

/** What the path of a request depends on. */
export interface PathNeed {
  /** What another instance that carries the request reports if the server crashes. */
  readonly causes: RequestCauses
  readonly requestId: string
  /** Connections that have been idle for longer are not used, milliseconds. */
  readonly maxIdleMs: number
  /** Whether the request found no connection to a server over this instance's own links. */
  readonly wasUnreachable: boolean
  /** Instances that have failed to carry the request. */
  readonly triedForwarders: ReadonlySet<string>
}

export interface ServerPaths {
  /** Whether any path to the server is known. */
  readonly isUsable: (server: KnownServer) => boolean
  /** Undefined where no path is known. */
  readonly pathTo: (server: KnownServer, need: PathNeed) => ServerPath | undefined
  /** Whether this instance's own link to the server is broken. */
  readonly isBroken: (server: KnownServer) => boolean
  /** Checks a failure; see `LinkMonitor`. */
  readonly suspect: (server: KnownServer, suspicion: Suspicion, beganAt: number, conclusions: FailureConclusions) => void
  /** Records that an instance did not carry a request. */
  readonly recordForwarderFailure: (address: string) => void
  /** Counts a request that waits for the server over this instance's own links; returns a function that ends the wait. */
  readonly beginWait: (server: KnownServer) => () => void
}

function directPath (channel: ServerChannel): ServerPath {
  return { channel, forwarder: undefined, readFailure: undefined }
}

/** Paths of an instance that has no others to send through. */
export const directPaths: ServerPaths = {
  isUsable: () => true,
  pathTo: ({ connections }) => directPath(connections),
  isBroken: () => false,
  suspect: (_server, _suspicion, _beganAt, { onServerAtFault, onNotReached }) => {
    onServerAtFault?.()
    onNotReached?.()
  },
  recordForwarderFailure: () => {},
  beginWait: () => () => {}
}

export interface ServerPathsOptions {
  readonly now: () => number
  readonly monitor: LinkMonitor
  readonly client: ForwardingClient
}

/** An idle connection on which an answer has ended since the links broke still works, although new ones may not. */
function hasLivingConnection ({ connections }: KnownServer, since: number, idleFrom: number): boolean {
  return connections.hasIdleSince(Math.max(since, idleFrom))
}

export function createServerPaths ({ now, monitor, client }: ServerPathsOptions): ServerPaths {
  const forwardedPath = (server: KnownServer, { requestId, causes, triedForwarders }: PathNeed): ServerPath | undefined => {
    const forwarder = client.forwarderFor(server, { requestId, causes }, triedForwarders)
    return forwarder && { channel: forwarder.channel, forwarder: forwarder.address, readFailure: readReportedFailure }
  }
  return {
    isUsable: server => {
      const since = monitor.brokenSince(server)
      return since === undefined || client.isAvailable || hasLivingConnection(server, since, 0)
    },
    pathTo: (server, need) => {
      const since = monitor.brokenSince(server)
      if (since === undefined) {
        const isDoubtful = need.wasUnreachable && (monitor.isChecking || monitor.state !== LinkState.Sound)
        return (isDoubtful ? forwardedPath(server, need) : undefined) ?? directPath(server.connections)
      }
      return hasLivingConnection(server, since, now() - need.maxIdleMs)
        ? directPath({ send: (call, onBeforeSend) => server.connections.send(call, onBeforeSend), closeIdleFor: () => {}, recordExcess: excess => server.connections.recordExcess(excess) })
        : forwardedPath(server, need)
    },
    isBroken: server => monitor.brokenSince(server) !== undefined,
    suspect: (...failure) => monitor.suspect(...failure),
    recordForwarderFailure: address => client.recordFailure(address),
    beginWait: server => monitor.beginWait(server)
  }
}
