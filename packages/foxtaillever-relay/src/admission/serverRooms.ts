/** Determines what a backend server can take, from its entry and the configuration of its service. */
import type { Clock } from 'foxtaillever-core'
import { LearnedSlots } from 'foxtaillever-policy/relay/learnedSlots'
import type { Routing } from '../model/routing.js'
import { ServerState } from '../model/listedServer.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { ServerCapacity } from './serverAdmissions.js'

/** Share of the shortest objective among a service's prompt routes that a server may have to read when it gets the next request. */
const READ_AHEAD_SHARE = 0.25

/** A refill takes about 35 ms; with less read-ahead than this a server would become idle. */
const MIN_READ_AHEAD_MS = 60

export interface ServerRoomsOptions {
  readonly clock: Clock
  /** Whether the server fails if it must reject a few requests. */
  readonly isBrittle: (server: KnownServer) => boolean
  readonly directory: Pick<ServerDirectory, 'getByHash' | 'memoryTokensOf' | 'observations'>
  readonly routing: () => Routing | undefined
}

/** What the prompt routes of a service require of its servers, milliseconds. */
interface ServiceObjectives {
  /** How much a server may have to read when it gets the next request. */
  readonly readAheadMs: number
  /** The shortest objective for pauses in streams; undefined for none. */
  readonly pauseObjectiveMs: number | undefined
}

function objectivesOf (service: string, routing: Routing | undefined): ServiceObjectives {
  const routes = (routing?.routes ?? []).filter(({ hasPrompt, targets }) => hasPrompt && targets.some(target => target.service === service))
  const pauses = routes.map(({ pauseObjectiveMs }) => pauseObjectiveMs).filter(pauseMs => pauseMs > 0)
  return {
    readAheadMs: routes.length === 0 ? MIN_READ_AHEAD_MS : Math.max(MIN_READ_AHEAD_MS, READ_AHEAD_SHARE * Math.min(...routes.map(({ objectiveMs }) => objectiveMs))),
    pauseObjectiveMs: pauses.length === 0 ? undefined : Math.min(...pauses)
  }
}

export class ServerRooms {
  private routing: Routing | undefined
  /** By service, for the current routing: decisions look it up for each request. */
  private readonly objectives = new Map<string, ServiceObjectives>()

  private readonly learnedSlots = LearnedSlots.create()

  private constructor (private readonly options: ServerRoomsOptions) {}

  static create (options: ServerRoomsOptions): ServerRooms {
    return new ServerRooms(options)
  }

  /** Undefined for a server that takes no requests. */
  of (hash: number): ServerCapacity | undefined {
    const { clock, directory, isBrittle } = this.options
    const server = directory.getByHash(hash)
    if (server?.listed.state !== ServerState.Ready) {
      return undefined
    }
    const { service } = server.listed
    const isLimited = isBrittle(server)
    const slots = isLimited ? this.learnedSlots.slotsOf(hash, server.listed.slots, clock.now()) : server.listed.slots
    return { tokensPerMs: directory.observations.tokensPerMsOf(server), memoryTokens: directory.memoryTokensOf(service), slots, readAheadMs: this.objectivesOf(service).readAheadMs, isBrittle: isLimited }
  }

  /**
   * A server rejected a request of any instance.
   * @param outstanding requests that it had from all instances.
   */
  recordRejection (hash: number, outstanding: number): void {
    this.learnedSlots.recordRejection(hash, outstanding, this.options.clock.now())
  }

  /** Requirements of the service under the configuration in force. */
  objectivesOf (service: string): ServiceObjectives {
    const routing = this.options.routing()
    if (routing !== this.routing) {
      this.routing = routing
      this.objectives.clear()
    }
    let objectives = this.objectives.get(service)
    if (objectives === undefined) {
      objectives = objectivesOf(service, routing)
      this.objectives.set(service, objectives)
    }
    return objectives
  }
}
