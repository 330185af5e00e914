/** Determines what a backend server can take, from its entry and the configuration of its service. */
import type { Routing } from '../model/routing.js'
import { ServerState } from '../model/listedServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { ServerCapacity } from './serverAdmissions.js'

/** Share of the shortest objective among a service's prompt routes that a server may have to read when it gets the next request. */
const READ_AHEAD_SHARE = 0.25

/** A refill takes about 35 ms; with less read-ahead than this a server would become idle. */
const MIN_READ_AHEAD_MS = 60

export interface ServerRoomsOptions {
  readonly directory: Pick<ServerDirectory, 'getByHash' | 'memoryTokensOf' | 'observations'>
  readonly routing: () => Routing | undefined
}

export class ServerRooms {
  private routing: Routing | undefined
  /** By service, for the current routing: decisions look it up for each request. */
  private readonly readAheads = new Map<string, number>()

  private constructor (private readonly options: ServerRoomsOptions) {}

  static create (options: ServerRoomsOptions): ServerRooms {
    return new ServerRooms(options)
  }

  /** Undefined for a server that takes no requests. */
  of (hash: number): ServerCapacity | undefined {
    const { directory } = this.options
    const { listed } = directory.getByHash(hash) ?? {}
    if (listed?.state !== ServerState.Ready) {
      return undefined
    }
    const { service, slots } = listed
    const { tokensPerMs } = directory.observations.prefillSpeedOf(service)
    return { tokensPerMs, memoryTokens: directory.memoryTokensOf(service), slots, readAheadMs: this.readAheadMsOf(service) }
  }

  /** How much a server of the service may have to read when it gets the next request, milliseconds. */
  readAheadMsOf (service: string): number {
    const routing = this.options.routing()
    if (routing !== this.routing) {
      this.routing = routing
      this.readAheads.clear()
    }
    const known = this.readAheads.get(service)
    if (known !== undefined) {
      return known
    }
    const objectives = (routing?.routes ?? [])
      .filter(({ hasPrompt, targets }) => hasPrompt && targets.some(target => target.service === service))
      .map(({ objectiveMs }) => objectiveMs)
    const readAheadMs = objectives.length === 0 ? MIN_READ_AHEAD_MS : Math.max(MIN_READ_AHEAD_MS, READ_AHEAD_SHARE * Math.min(...objectives))
    this.readAheads.set(service, readAheadMs)
    return readAheadMs
  }
}
