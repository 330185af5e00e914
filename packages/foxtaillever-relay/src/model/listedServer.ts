/** Backend servers as they register themselves in the platform's store. */

export enum ServerState {
  Ready = 'ready',
  /** Will end soon and must get no new work. */
  Draining = 'draining',
  /** Its newest entry cannot be parsed; the server gets no new work until a valid entry arrives. */
  Unreadable = 'unreadable',
  /** Its entry was removed. */
  Gone = 'gone'
}

/** One start of a backend server. */
export interface ListedServer {
  readonly id: string
  /**
   * When it started, milliseconds of Unix time. A later start under the same id is
   * another incarnation, which keeps no state of the previous one. 0 where servers
   * do not state it: each start then has an id of its own.
   */
  readonly startedAt: number
  readonly service: string
  /** IP address and port; the platform may reuse it for another server some time after this one has ended. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly state: ServerState
  /** Remaining warm-up time after its start, during which it is slow, milliseconds. */
  readonly coldLeftMs: number
  /** Version of its software; several may serve one service, and the text has no order. */
  readonly softwareVersion: string
  /** Weights version of each model that it has loaded. */
  readonly weights: ReadonlyMap<string, number>
}

/** Weights that operators want all engines to have. */
export interface WantedWeights {
  readonly model: string
  readonly version: number
}

/** Whether two entries of one server differ in nothing but their heartbeat. */
export function hasSameContent (a: ListedServer, b: ListedServer): boolean {
  return a.startedAt === b.startedAt && a.state === b.state && a.address === b.address && a.service === b.service && a.slots === b.slots && a.softwareVersion === b.softwareVersion &&
    a.coldLeftMs === b.coldLeftMs && a.weights.size === b.weights.size &&
    [...a.weights].every(([model, version]) => b.weights.get(model) === version)
}
