/** What instances ask and tell each other about limits that they share, by datagram: arrays by position. */
import type { SharedLimit, LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

/** What a shared limit is for; keys of one kind mean nothing to another. */
export enum LimitScope {
  /** A client account's quota. */
  Account = 1,
  /** A rate that a backend server states for itself. */
  Server = 2
}

/** One request of a key, to whoever decides. */
export interface LimitQuestion {
  readonly kind: DatagramKind.LimitQuestion
  readonly scope: LimitScope
  readonly address: string
  readonly number: number
  readonly key: string
  readonly limit: SharedLimit
  readonly cost: number
  /** The request did not wait; it can only be counted. */
  readonly isTaken: boolean
}

export interface LimitAnswer {
  readonly kind: DatagramKind.LimitAnswer
  readonly scope: LimitScope
  readonly address: string
  readonly number: number
  readonly key: string
  readonly outcome: LimitOutcome
  /** What the teller is to the key. */
  readonly role: LimitRole
  /** Until there is room, milliseconds. */
  readonly retryMs: number
  /** What the asker may use in the next moment without a decision. */
  readonly free: number
  /** Who decides instead, where the teller does not; empty where it does. */
  readonly owner: string
}

/** A request that was counted has not run. */
export interface LimitReturn {
  readonly kind: DatagramKind.LimitReturn
  readonly scope: LimitScope
  readonly address: string
  readonly key: string
  readonly cost: number
}

/** An owner asks its standby to hold back, and the standby promises it. */
export interface LimitRenewal {
  readonly kind: DatagramKind.LimitRenewal | DatagramKind.LimitPromise
  readonly scope: LimitScope
  readonly address: string
  readonly key: string
  /** By the owner's clock, milliseconds. */
  readonly sentAt: number
}

export type LimitMessage = LimitQuestion | LimitAnswer | LimitReturn | LimitRenewal

export function encodeLimitMessage (message: LimitMessage): Buffer {
  const { kind, scope, address, key } = message
  switch (kind) {
    case DatagramKind.LimitQuestion: {
      const { number, limit: { perSecond, burst, revision }, cost, isTaken } = message
      return packDatagram([kind, scope, address, key, number, perSecond, burst, revision, cost, isTaken])
    }
    case DatagramKind.LimitAnswer: return packDatagram([kind, scope, address, key, message.number, message.outcome, message.role, Math.ceil(message.retryMs), Math.floor(message.free), message.owner])
    case DatagramKind.LimitReturn: return packDatagram([kind, scope, address, key, message.cost])
    case DatagramKind.LimitRenewal:
    case DatagramKind.LimitPromise: return packDatagram([kind, scope, address, key, message.sentAt])
  }
}

/** Who speaks of what. */
type Subject = Pick<LimitMessage, 'scope' | 'address' | 'key'>

type Reader = (subject: Subject, rest: readonly unknown[]) => LimitMessage

const readRenewal = (kind: LimitRenewal['kind']): Reader => (subject, [sentAt]) => ({ kind, ...subject, sentAt: Number(sentAt) })

const readers: Readonly<Record<LimitMessage['kind'], Reader>> = {
  [DatagramKind.LimitQuestion]: (subject, [number, perSecond, burst, revision, cost, isTaken]) => ({
    kind: DatagramKind.LimitQuestion, ...subject, number: Number(number), limit: { perSecond: Number(perSecond), burst: Number(burst), revision: Number(revision) }, cost: Number(cost), isTaken: isTaken === true
  }),
  [DatagramKind.LimitAnswer]: (subject, [number, outcome, role, retryMs, free, owner]) => ({
    kind: DatagramKind.LimitAnswer, ...subject, number: Number(number), outcome: outcome as LimitOutcome, role: role as LimitRole, retryMs: Number(retryMs), free: Number(free), owner: String(owner)
  }),
  [DatagramKind.LimitReturn]: (subject, [cost]) => ({ kind: DatagramKind.LimitReturn, ...subject, cost: Number(cost) }),
  [DatagramKind.LimitRenewal]: readRenewal(DatagramKind.LimitRenewal),
  [DatagramKind.LimitPromise]: readRenewal(DatagramKind.LimitPromise)
}

/** Numbers that are none would empty a bucket for good. */
function isSound (message: LimitMessage): boolean {
  return Object.values(message).every(value => typeof value !== 'number' || Number.isFinite(value)) &&
    (message.kind !== DatagramKind.LimitQuestion || Object.values(message.limit).every(Number.isFinite))
}

/** Nothing for a datagram of another form. */
export function readLimitMessage (wire: readonly unknown[]): Maybe<LimitMessage> {
  const [kind, scope, address, key, ...rest] = wire as readonly [LimitMessage['kind'], LimitScope, unknown, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => scope in LimitScope && typeof address === 'string' && typeof key === 'string')
    .chain(read => Maybe.encase(() => read({ scope, address: address as string, key: key as string }, rest)))
    .filter(isSound)
}
