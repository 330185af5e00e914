/** Backend servers as they register themselves in the platform's store. */

export enum ServerState {
  Ready = 'ready',
  /** Will end soon and must get no new work. */
  Draining = 'draining',
  /** Its newest entry says nothing that can be used; it gets no new work until the next one does. */
  Unreadable = 'unreadable',
  /** Its entry was removed. */
  Gone = 'gone'
}

/** One start of a backend server. */
export interface ListedServer {
  readonly id: string
  /**
   * When it started, milliseconds of Unix time; a later start under the same id is
   * another incarnation, which has nothing of what the former one had. 0 where servers
   * do not say: each start then has an id of its own.
   */
  readonly startedAt: number
  readonly service: string
  /** IP number and port; given to another server some time after this one has ended. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly state: ServerState
  /** How much longer it is slow after its start, milliseconds. */
  readonly coldLeftMs: number
  /** Weights version of each model that it has loaded. */
  readonly weights: ReadonlyMap<string, number>
}

/** Weights that operators want all engines to have. */
export interface WantedWeights {
  readonly model: string
  readonly version: number
}

/** Two entries of one server that differ by their heartbeat alone. */
export function saysSame (one: ListedServer, other: ListedServer): boolean {
  return one.startedAt === other.startedAt && one.state === other.state && one.address === other.address && one.service === other.service && one.slots === other.slots &&
    one.coldLeftMs === other.coldLeftMs && one.weights.size === other.weights.size &&
    [...one.weights].every(([model, version]) => other.weights.get(model) === version)
}
