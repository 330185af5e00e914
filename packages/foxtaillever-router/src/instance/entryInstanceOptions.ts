/** Options of an entry instance. */
import type { OperatorTokens } from 'foxtaillever-control'
import type { Key } from 'foxtaillever-fleet'
import type { Logs } from 'foxtaillever-telemetry'

export interface Listening {
  /** IP address. */
  readonly host: string
  /** 0 lets the system choose. */
  readonly port: number
}

export interface EntryInstanceOptions {
  readonly name: string
  readonly failureDomain: string
  /** For callers. */
  readonly listen: Listening
  /** For operators and other instances. */
  readonly control: Listening
  /** UDP, between instances. */
  readonly gossip: Listening
  /** Gossip addresses of some instances, in addition to those that the platform lists. */
  readonly seeds: readonly string[]
  readonly keys: readonly Key[]
  readonly operators: readonly OperatorTokens[]
  readonly logAddress: string
  readonly listAddress: string
  /** One-way latency to other failure domains, milliseconds. */
  readonly distancesMs: Readonly<Record<string, number>>
  readonly limits: InstanceLimits
  readonly logs: Logs
  /** Whether its metrics include those of the process; false where several instances share a process. */
  readonly hasOwnProcess?: boolean
  readonly seed: number
  /** The platform keeps records at least this long, milliseconds. */
  readonly logRetentionMs: number
  /** Claims of non-idempotent requests are remembered this long, milliseconds. */
  readonly claimKeptMs: number
}

export interface InstanceLimits {
  readonly bodyBytes: number
  readonly headerBytes: number
  /** A request whose headers and body take longer to arrive is refused. */
  readonly arrivalTimeoutMs: number
  /** A caller's connection without a request is closed after this. */
  readonly idleTimeoutMs: number
  /** How long an instance that shuts down waits for requests in flight. */
  readonly drainTimeoutMs: number
  /** Memory that the process may use, megabytes; undefined if only its heap is limited. */
  readonly memoryMb?: number | undefined
  /** Descriptors that the process may have open; undefined if nothing limits them. */
  readonly descriptors?: number | undefined
}

/** Where an instance listens once it has started. */
export interface EntryAddresses {
  /** URL for callers. */
  readonly callers: string
  /** IP address and port. */
  readonly control: string
  /** IP address and port. */
  readonly gossip: string
}
