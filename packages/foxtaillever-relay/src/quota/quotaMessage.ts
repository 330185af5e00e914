/** What instances ask and tell each other about quotas of client accounts, by datagram: arrays by position. */
import type { QuotaLimit, QuotaOutcome, QuotaRole } from 'foxtaillever-policy/limits/quotaBook'
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

/** One request of an account, to whoever decides. */
export interface QuotaQuestion {
  readonly kind: DatagramKind.QuotaQuestion
  readonly address: string
  readonly number: number
  readonly account: string
  readonly limit: QuotaLimit
  readonly cost: number
  /** The request did not wait; it can only be counted. */
  readonly isTaken: boolean
}

export interface QuotaAnswer {
  readonly kind: DatagramKind.QuotaAnswer
  readonly address: string
  readonly number: number
  readonly account: string
  readonly outcome: QuotaOutcome
  /** What the teller is to the account. */
  readonly role: QuotaRole
  /** Until there is room, milliseconds. */
  readonly retryMs: number
  /** What the asker may use in the next moment without a decision. */
  readonly free: number
  /** Who decides instead, where the teller does not; empty where it does. */
  readonly keeper: string
}

/** A request that was counted has not run. */
export interface QuotaReturn {
  readonly kind: DatagramKind.QuotaReturn
  readonly address: string
  readonly account: string
  readonly cost: number
}

/** A keeper asks its stand-in to hold back, and the stand-in promises it. */
export interface QuotaRenewal {
  readonly kind: DatagramKind.QuotaRenewal | DatagramKind.QuotaPromise
  readonly address: string
  readonly account: string
  /** By the keeper's clock, milliseconds. */
  readonly sentAt: number
}

export type QuotaMessage = QuotaQuestion | QuotaAnswer | QuotaReturn | QuotaRenewal

export function encodeQuotaMessage (message: QuotaMessage): Buffer {
  const { kind, address, account } = message
  switch (kind) {
    case DatagramKind.QuotaQuestion: {
      const { number, limit: { perSecond, burst, revision }, cost, isTaken } = message
      return packDatagram([kind, address, account, number, perSecond, burst, revision, cost, isTaken])
    }
    case DatagramKind.QuotaAnswer: return packDatagram([kind, address, account, message.number, message.outcome, message.role, Math.ceil(message.retryMs), Math.floor(message.free), message.keeper])
    case DatagramKind.QuotaReturn: return packDatagram([kind, address, account, message.cost])
    case DatagramKind.QuotaRenewal:
    case DatagramKind.QuotaPromise: return packDatagram([kind, address, account, message.sentAt])
  }
}

type Reader = (address: string, account: string, rest: readonly unknown[]) => QuotaMessage

const readRenewal = (kind: QuotaRenewal['kind']): Reader => (address, account, [sentAt]) => ({ kind, address, account, sentAt: Number(sentAt) })

const readers: Readonly<Record<QuotaMessage['kind'], Reader>> = {
  [DatagramKind.QuotaQuestion]: (address, account, [number, perSecond, burst, revision, cost, isTaken]) => ({
    kind: DatagramKind.QuotaQuestion, address, account, number: Number(number), limit: { perSecond: Number(perSecond), burst: Number(burst), revision: Number(revision) }, cost: Number(cost), isTaken: isTaken === true
  }),
  [DatagramKind.QuotaAnswer]: (address, account, [number, outcome, role, retryMs, free, keeper]) => ({
    kind: DatagramKind.QuotaAnswer, address, account, number: Number(number), outcome: outcome as QuotaOutcome, role: role as QuotaRole, retryMs: Number(retryMs), free: Number(free), keeper: String(keeper)
  }),
  [DatagramKind.QuotaReturn]: (address, account, [cost]) => ({ kind: DatagramKind.QuotaReturn, address, account, cost: Number(cost) }),
  [DatagramKind.QuotaRenewal]: readRenewal(DatagramKind.QuotaRenewal),
  [DatagramKind.QuotaPromise]: readRenewal(DatagramKind.QuotaPromise)
}

/** Numbers that are none would empty a bucket for good. */
function isSound (message: QuotaMessage): boolean {
  return Object.values(message).every(value => typeof value !== 'number' || Number.isFinite(value)) &&
    (message.kind !== DatagramKind.QuotaQuestion || Object.values(message.limit).every(Number.isFinite))
}

/** Nothing for a datagram of another form. */
export function readQuotaMessage (wire: readonly unknown[]): Maybe<QuotaMessage> {
  const [kind, address, account, ...rest] = wire as readonly [QuotaMessage['kind'], unknown, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string' && typeof account === 'string')
    .chain(read => Maybe.encase(() => read(address as string, account as string, rest)))
    .filter(isSound)
}
