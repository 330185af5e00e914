/** Options of the router core and the state that it exposes. */
import type { BackendServer, Clock, Engine, Random } from 'foxtaillever-core'
import type { Scheduler } from 'foxtaillever-policy'
import type { RequestObserver } from '../telemetry/requestObserver.js'
import type { Claims } from './claims.js'
import type { Invariants } from './invariants.js'
import type { Safeguards } from './safeguards.js'

export interface RouterCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  /** Finds the engine behind a backend server. */
  readonly engineOf: (server: BackendServer) => Engine
  /** Claims of non-idempotent requests; without it they are refused. */
  readonly claims?: Claims
  readonly invariants?: Invariants
  /** One-way latency from this instance to other failure domains, milliseconds. */
  readonly distancesMs?: Readonly<Record<string, number>>
  /** Notified of each step of each request. */
  readonly observer?: RequestObserver
  /** All are on by default; only tests switch some off. */
  readonly safeguards?: Safeguards
}

export interface RouterCoreState {
  readonly inFlight: number
  readonly scheduler: ReturnType<Scheduler['dump']>
  readonly revision: number
  readonly invariants: ReturnType<Invariants['report']>
}
