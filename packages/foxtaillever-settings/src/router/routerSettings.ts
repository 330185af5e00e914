/**
 * Settings of one entry instance: what it must know before it can read the log.
 * Everything that operators change while it runs is configuration instead.
 */
import type { Secret } from '../secret.js'

export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

export interface Endpoint {
  /** IP number. */
  readonly host: string
  /** 0 lets the system choose. */
  readonly port: number
}

/** Someone who may use the control port. */
export interface Operator {
  readonly name: string
  /** SHA-256 of each token in force, hexadecimal; two while a token is replaced. */
  readonly tokenDigests: readonly string[]
}

/** Key by which instances know each other. */
export interface MemberKey {
  readonly id: string
  /** 64 hexadecimal digits. */
  readonly secret: Secret
}

export interface Platform {
  /** IP number and port of the append-only log. */
  readonly logAddress: string
  /** IP number and port of the list of instances. */
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
  /** How long a leaving instance lets requests in flight go on. */
  readonly drainTimeoutMs: number
  /** How long the claim of a non-idempotent request is remembered. */
  readonly claimKeptMs: number
}

/** One way between two failure domains. */
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
  /** Gossip addresses of some other entry instances, to find the rest by. */
  readonly peers: readonly string[]
  readonly platform: Platform
  readonly operators: readonly Operator[]
  /** The first signs; each is accepted. */
  readonly memberKeys: readonly MemberKey[]
  readonly logLevel: LogLevel
  readonly limits: Limits
  readonly distances: readonly Distance[]
}

/** One way between two failure domains, milliseconds; 0 within one, undefined when not told. */
export function distanceBetween (distances: readonly Distance[], one: string, other: string): number | undefined {
  if (one === other) {
    return 0
  }
  return distances.find(({ between }) => between.includes(one) && between.includes(other))?.oneWayMs
}
