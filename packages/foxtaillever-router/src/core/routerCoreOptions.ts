/** What the router's core is given, and what it shows of itself. */
import type { BackendServer, Clock, Engine, Random } from 'foxtaillever-core'
import type { Scheduler } from 'foxtaillever-policy'
import type { RequestObserver } from '../telemetry/requestObserver.js'
import type { Claims } from './claimDesk.js'
import type { Invariants } from './invariants.js'
import type { Safeguards } from './safeguards.js'

export interface RouterCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  /** Finds the engine behind a backend server. */
  readonly engineOf: (server: BackendServer) => Engine
  /** Claims of non-idempotent requests; without it none is sent. */
  readonly claims?: Claims
  readonly invariants?: Invariants
  /** One way from this instance to other failure domains, milliseconds. */
  readonly distancesMs?: Readonly<Record<string, number>>
  /** Is told what becomes of each request; without it nobody is. */
  readonly observer?: RequestObserver
  /** Other than all of them in tests alone. */
  readonly safeguards?: Safeguards
}

export interface RouterCoreState {
  readonly inFlight: number
  readonly scheduler: ReturnType<Scheduler['dump']>
  readonly revision: number
  readonly invariants: ReturnType<Invariants['report']>
}
