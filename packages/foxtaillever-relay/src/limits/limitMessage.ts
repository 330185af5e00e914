/** Datagrams between instances about shared limits, encoded as arrays by position. */
import type { SharedLimit, LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

/** What a shared limit applies to; each scope has its own keys. */
export enum LimitScope {
  /** A client account's quota. */
  Account = 1,
  /** A request rate that a backend server states for itself. */
  Server = 2
}

/** A claim on a key's limit, sent to an instance that decides on the key. */
export interface LimitRequest {
  readonly kind: DatagramKind.LimitRequest
  readonly scope: LimitScope
  /** Of the sender, as in all messages here. */
  readonly address: string
  /** Chosen by the sender; the response repeats it. */
  readonly number: number
  readonly key: string
  readonly limit: SharedLimit
  readonly cost: number
  /** The sender has already admitted the claim from its allowance; it can only be counted. */
  readonly isTaken: boolean
}

export interface LimitResponse {
  readonly kind: DatagramKind.LimitResponse
  readonly scope: LimitScope
  readonly address: string
  readonly number: number
  readonly key: string
  readonly outcome: LimitOutcome
  /** Role of the responder for the key. */
  readonly role: LimitRole
  /** Time until the claim would fit, milliseconds. */
  readonly retryMs: number
  /** Allowance: what the requester may use for a short time without asking. */
  readonly free: number
  /** Address of the owner where the responder does not decide; empty where it does. */
  readonly owner: string
}

/** Returns the cost of a request that was counted but did not run. */
export interface LimitRefund {
  readonly kind: DatagramKind.LimitRefund
  readonly scope: LimitScope
  readonly address: string
  readonly key: string
  readonly cost: number
}

/** The owner of a key asks its standby to leave the full rate to the owner; the standby promises this. */
export interface LimitRenewal {
  readonly kind: DatagramKind.LimitRenewal | DatagramKind.LimitPromise
  readonly scope: LimitScope
  readonly address: string
  readonly key: string
  /** By the owner's clock, milliseconds. */
  readonly sentAt: number
}

export type LimitMessage = LimitRequest | LimitResponse | LimitRefund | LimitRenewal

export function encodeLimitMessage (message: LimitMessage): Buffer {
  const { kind, scope, address, key } = message
  switch (kind) {
    case DatagramKind.LimitRequest: {
      const { number, limit: { perSecond, burst, revision }, cost, isTaken } = message
      return packDatagram([kind, scope, address, key, number, perSecond, burst, revision, cost, isTaken])
    }
    case DatagramKind.LimitResponse: return packDatagram([kind, scope, address, key, message.number, message.outcome, message.role, Math.ceil(message.retryMs), Math.floor(message.free), message.owner])
    case DatagramKind.LimitRefund: return packDatagram([kind, scope, address, key, message.cost])
    case DatagramKind.LimitRenewal:
    case DatagramKind.LimitPromise: return packDatagram([kind, scope, address, key, message.sentAt])
  }
}

/** The fields that all messages share. */
type MessageHead = Pick<LimitMessage, 'scope' | 'address' | 'key'>

type Reader = (head: MessageHead, rest: readonly unknown[]) => LimitMessage

const readRenewal = (kind: LimitRenewal['kind']): Reader => (head, [sentAt]) => ({ kind, ...head, sentAt: Number(sentAt) })

const readers: Readonly<Record<LimitMessage['kind'], Reader>> = {
  [DatagramKind.LimitRequest]: (head, [number, perSecond, burst, revision, cost, isTaken]) => ({
    kind: DatagramKind.LimitRequest, ...head, number: Number(number), limit: { perSecond: Number(perSecond), burst: Number(burst), revision: Number(revision) }, cost: Number(cost), isTaken: isTaken === true
  }),
  [DatagramKind.LimitResponse]: (head, [number, outcome, role, retryMs, free, owner]) => ({
    kind: DatagramKind.LimitResponse, ...head, number: Number(number), outcome: outcome as LimitOutcome, role: role as LimitRole, retryMs: Number(retryMs), free: Number(free), owner: String(owner)
  }),
  [DatagramKind.LimitRefund]: (head, [cost]) => ({ kind: DatagramKind.LimitRefund, ...head, cost: Number(cost) }),
  [DatagramKind.LimitRenewal]: readRenewal(DatagramKind.LimitRenewal),
  [DatagramKind.LimitPromise]: readRenewal(DatagramKind.LimitPromise)
}

/** A number such as NaN would leave the key's bucket empty forever. */
function hasFiniteNumbers (message: LimitMessage): boolean {
  return Object.values(message).every(value => typeof value !== 'number' || Number.isFinite(value)) &&
    (message.kind !== DatagramKind.LimitRequest || Object.values(message.limit).every(Number.isFinite))
}

/** Returns Nothing for a datagram of another form. */
export function readLimitMessage (wire: readonly unknown[]): Maybe<LimitMessage> {
  const [kind, scope, address, key, ...rest] = wire as readonly [LimitMessage['kind'], LimitScope, unknown, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => scope in LimitScope && typeof address === 'string' && typeof key === 'string')
    .chain(read => Maybe.encase(() => read({ scope, address: address as string, key: key as string }, rest)))
    .filter(hasFiniteNumbers)
}
