/** Datagrams between instances about crashes of backend servers and what causes them, encoded as arrays by position. Times are sent as ages, since the clocks of instances differ. */
import { CauseKind, type LostRequest, type AnswerCounts } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

interface MessageHead {
  /** Of the sender. */
  readonly address: string
  readonly service: string
}

/** Requests of the sender that were in flight when a server crashed. */
export interface CrashReport extends MessageHead {
  readonly kind: DatagramKind.CrashReport
  /** Hash of the server's incarnation. */
  readonly server: number
  /** Since the crash, milliseconds. */
  readonly ageMs: number
  /** Whether the server is known to have ended. */
  readonly hasEnded: boolean
  /** Requests of the service that the sender had answered before. */
  readonly answers: AnswerCounts
  readonly lost: ReadonlyArray<Omit<LostRequest, 'sentAt'> & { readonly sentAgeMs: number }>
}

/** The incarnation has answered since it was reported to have crashed. */
export interface CrashRetraction extends MessageHead {
  readonly kind: DatagramKind.CrashRetraction
  readonly server: number
}

/** Requests with the levels were answered completely. */
export interface AnsweredNotice extends MessageHead {
  readonly kind: DatagramKind.AnsweredNotice
  readonly ageMs: number
  readonly levels: readonly string[]
}

/** Levels that were in flight at several crashes since a request with them was last answered. */
export interface SuspicionNotice extends MessageHead {
  readonly kind: DatagramKind.SuspicionNotice
  readonly levels: ReadonlyArray<{ readonly level: string, readonly ageMs: number }>
}

/** Asks whether a request with suspected levels may be sent now. */
export interface TrialRequest extends MessageHead {
  readonly kind: DatagramKind.TrialRequest
  readonly number: number
  readonly levels: readonly string[]
}

export interface TrialResponse extends MessageHead {
  readonly kind: DatagramKind.TrialResponse
  readonly number: number
  readonly isGranted: boolean
}

export interface QuarantineNotice extends MessageHead {
  readonly kind: DatagramKind.QuarantineNotice
  readonly quarantines: readonly QuarantineUpdate[]
}

export type QuarantineUpdate = Omit<Quarantine, 'expiresAt'> & { readonly leftMs: number }

export type CrashMessage = CrashReport | CrashRetraction | AnsweredNotice | SuspicionNotice | TrialRequest | TrialResponse | QuarantineNotice

export type WireQuarantine = readonly [kind: string, id: string, account: string | null, servers: readonly number[], revision: number, isLifted: boolean, leftMs: number]

export function packQuarantine ({ kind, id, account, servers, revision, isLifted, leftMs }: QuarantineUpdate): WireQuarantine {
  return [kind, id, account ?? null, servers, revision, isLifted, Math.round(leftMs)]
}

const kinds = new Set<string>(Object.values(CauseKind))

/** Leaves out what has another form. */
export function readQuarantines (wire: readonly unknown[]): QuarantineUpdate[] {
  return wire.flatMap(entry => {
    const [kind, id, account, servers, revision, isLifted, leftMs] = Array.isArray(entry) ? entry as unknown as WireQuarantine : []
    return kind !== undefined && kinds.has(kind) && typeof id === 'string' && Number.isFinite(revision) && Number.isFinite(leftMs)
      ? [{ kind: kind as CauseKind, id, account: typeof account === 'string' ? account : undefined, servers: Array.isArray(servers) ? servers.map(Number) : [], revision: Number(revision), isLifted: isLifted === true, leftMs: Number(leftMs) }]
      : []
  })
}

export function encodeCrashMessage (message: CrashMessage): Buffer {
  const { kind, address, service } = message
  switch (kind) {
    case DatagramKind.CrashReport:
      return packDatagram([kind, address, service, message.server, Math.round(message.ageMs), message.answers, message.lost.map(({ request, account, levels, isTrial, sentAgeMs }) => [request, account, Math.round(sentAgeMs), isTrial, levels]), message.hasEnded])
    case DatagramKind.CrashRetraction: return packDatagram([kind, address, service, message.server])
    case DatagramKind.AnsweredNotice: return packDatagram([kind, address, service, Math.round(message.ageMs), message.levels])
    case DatagramKind.SuspicionNotice: return packDatagram([kind, address, service, message.levels.map(({ level, ageMs }) => [level, Math.round(ageMs)])])
    case DatagramKind.TrialRequest: return packDatagram([kind, address, service, message.number, message.levels])
    case DatagramKind.TrialResponse: return packDatagram([kind, address, service, message.number, message.isGranted])
    case DatagramKind.QuarantineNotice: return packDatagram([kind, address, service, message.quarantines.map(packQuarantine)])
  }
}

type Reader = (head: MessageHead, rest: readonly unknown[]) => CrashMessage

function listOf (value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : []
}

function textsOf (value: unknown): string[] {
  return listOf(value).map(String)
}

function amountOf (value: unknown): number {
  return Math.max(0, Number(value) || 0)
}

const readers: Readonly<Record<CrashMessage['kind'], Reader>> = {
  [DatagramKind.CrashReport]: (head, [server, age, answers, lost, hasEnded]) => ({
    kind: DatagramKind.CrashReport,
    ...head,
    server: Number(server),
    ageMs: amountOf(age),
    hasEnded: hasEnded === true,
    answers: listOf(answers).map(amountOf),
    lost: listOf(lost).map(entry => {
      const [request, account, sentAge, isTrial, levels] = listOf(entry)
      return { request: String(request), account: String(account), sentAgeMs: amountOf(sentAge), isTrial: isTrial === true, levels: textsOf(levels) }
    })
  }),
  [DatagramKind.CrashRetraction]: (head, [server]) => ({ kind: DatagramKind.CrashRetraction, ...head, server: Number(server) }),
  [DatagramKind.AnsweredNotice]: (head, [age, levels]) => ({ kind: DatagramKind.AnsweredNotice, ...head, ageMs: amountOf(age), levels: textsOf(levels) }),
  [DatagramKind.SuspicionNotice]: (head, [levels]) => ({
    kind: DatagramKind.SuspicionNotice,
    ...head,
    levels: listOf(levels).map(entry => {
      const [level, age] = listOf(entry)
      return { level: String(level), ageMs: amountOf(age) }
    })
  }),
  [DatagramKind.TrialRequest]: (head, [number, levels]) => ({ kind: DatagramKind.TrialRequest, ...head, number: Number(number), levels: textsOf(levels) }),
  [DatagramKind.TrialResponse]: (head, [number, isGranted]) => ({ kind: DatagramKind.TrialResponse, ...head, number: Number(number), isGranted: isGranted === true }),
  [DatagramKind.QuarantineNotice]: (head, [quarantines]) => ({ kind: DatagramKind.QuarantineNotice, ...head, quarantines: readQuarantines(listOf(quarantines)) })
}

/** Returns Nothing for a datagram of another form. */
export function readCrashMessage (wire: readonly unknown[]): Maybe<CrashMessage> {
  const [kind, address, service, ...rest] = wire as readonly [CrashMessage['kind'], unknown, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string' && typeof service === 'string')
    .map(read => read({ address: address as string, service: service as string }, rest))
}
