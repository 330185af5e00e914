/**
 * Settings of one entry instance: what it needs before it can read the log.
 * Everything that operators change at run time is in the configuration instead.
 */
import type { Secret } from '../secret.js'

export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

export interface Endpoint {
  /** IP address. */
  readonly host: string
  /** 0 lets the operating system choose. */
  readonly port: number
}

/** A person who may use the control port. */
export interface Operator {
  readonly name: string
  /** SHA-256 of each token in force, hexadecimal; two while a token is replaced. */
  readonly tokenDigests: readonly string[]
}

/** Key by which entry instances authenticate each other. */
export interface MemberKey {
  readonly id: string
  /** 64 hexadecimal digits. */
  readonly secret: Secret
}

export interface Platform {
  /** IP address and port of the append-only log. */
  readonly logAddress: string
  /** IP address and port of the list of instances. */
  readonly listAddress: string
  /** How long the log keeps records. */
  readonly logRetentionMs: number
}

export interface Limits {
  readonly bodyBytes: number
  readonly headerBytes: number
  /** A caller's connection without a request is closed after this. */
  readonly idleTimeoutMs: number
  /** A request whose headers and body take longer to arrive is refused. */
  readonly arrivalTimeoutMs: number
  /** How long a leaving instance lets requests in flight continue. */
  readonly drainTimeoutMs: number
  /** How long the claim of a non-idempotent request is remembered. */
  readonly claimKeptMs: number
  /** Memory that the process may use, megabytes; undefined if only its heap is limited. */
  readonly memoryMb?: number | undefined
  /** Descriptors that the process may have open. */
  readonly descriptors: number
}

/** Network latency between two failure domains, one way. */
export interface Distance {
  readonly between: readonly [string, string]
  readonly oneWayMs: number
}

export interface RouterSettings {
  readonly name: string
  readonly failureDomain: string
  /** For callers. */
  readonly listen: Endpoint
  /** For operators and other entry instances. */
  readonly control: Endpoint
  /** UDP, between entry instances. */
  readonly gossip: Endpoint
  /** Gossip addresses of some other entry instances, which announce the rest. */
  readonly peers: readonly string[]
  readonly platform: Platform
  readonly operators: readonly Operator[]
  /** The first key signs messages; each key is accepted. */
  readonly memberKeys: readonly MemberKey[]
  readonly logLevel: LogLevel
  readonly limits: Limits
  readonly distances: readonly Distance[]
}

/** One-way latency between two failure domains, milliseconds; 0 within one, undefined when not configured. */
export function distanceBetween (distances: readonly Distance[], a: string, b: string): number | undefined {
  if (a === b) {
    return 0
  }
  return distances.find(({ between }) => between.includes(a) && between.includes(b))?.oneWayMs
}
