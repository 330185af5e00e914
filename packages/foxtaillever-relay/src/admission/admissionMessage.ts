/** Datagrams between instances about admission at backend servers, encoded as arrays by position. */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

export enum AdmissionOutcome {
  Admitted = 0,
  /** The request waits; a second response follows. */
  Queued = 1,
  Rejected = 2,
  /** The responder does not decide, because it has not received every report on the server. */
  NotOwner = 3
}

/** Asks for admission of a request; the same number renews it. */
export interface AdmissionRequest {
  readonly kind: DatagramKind.AdmissionRequest
  /** Of the sender, as in all messages here. */
  readonly address: string
  /** Chosen by the requester, unique within it; responses repeat it. */
  readonly number: number
  /** Hash of the server's incarnation. */
  readonly server: number
  /** Prompt tokens that the server has to read. */
  readonly tokens: number
  /** Tokens of the server's memory that the request occupies until it ends. */
  readonly heldTokens: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Client account; empty for none. */
  readonly account: string
  /** Equal for a request and its retry by the same caller. */
  readonly fingerprint: number
  /** Time since its caller sent the request, milliseconds. */
  readonly elapsedMs: number
  /** Objective for the time until the first event, milliseconds. */
  readonly objectiveMs: number
  /** Time until it cannot begin in time for its deadline, milliseconds. */
  readonly startInMs: number
}

export interface AdmissionResponse {
  readonly kind: DatagramKind.AdmissionResponse
  readonly address: string
  readonly number: number
  readonly server: number
  readonly outcome: AdmissionOutcome
  /** Time until there will be room for a rejected request, milliseconds. */
  readonly retryMs: number
  /** Time that the server needs to read what it has, milliseconds. */
  readonly backlogMs: number
}

/** The requester no longer needs the admission. */
export interface AdmissionCancel {
  readonly kind: DatagramKind.AdmissionCancel
  readonly address: string
  readonly number: number
  readonly server: number
}

export type AdmissionMessage = AdmissionRequest | AdmissionResponse | AdmissionCancel

export function encodeAdmissionMessage (message: AdmissionMessage): Buffer {
  const { kind, address, number, server } = message
  switch (kind) {
    case DatagramKind.AdmissionRequest: {
      const { tokens, heldTokens, priority, account, fingerprint, elapsedMs, objectiveMs, startInMs } = message
      return packDatagram([kind, address, number, server, Math.round(tokens), Math.round(heldTokens), priority, account, fingerprint, Math.round(elapsedMs), objectiveMs, Math.floor(startInMs)])
    }
    case DatagramKind.AdmissionResponse: return packDatagram([kind, address, number, server, message.outcome, Math.ceil(message.retryMs), Math.round(message.backlogMs)])
    case DatagramKind.AdmissionCancel: return packDatagram([kind, address, number, server])
  }
}

/** The fields that all messages share. */
type MessageHead = Pick<AdmissionMessage, 'address' | 'number' | 'server'>

type Reader = (head: MessageHead, rest: readonly unknown[]) => AdmissionMessage

/** Converts nothing: a value that is not a number makes the message malformed. */
const readers: Readonly<Record<AdmissionMessage['kind'], Reader>> = {
  [DatagramKind.AdmissionRequest]: (head, rest) => {
    const [tokens, heldTokens, priority, account, fingerprint, elapsedMs, objectiveMs, startInMs] = rest as [number, number, number, string, number, number, number, number]
    return { kind: DatagramKind.AdmissionRequest, ...head, tokens, heldTokens, priority, account, fingerprint, elapsedMs, objectiveMs, startInMs }
  },
  [DatagramKind.AdmissionResponse]: (head, rest) => {
    const [outcome, retryMs, backlogMs] = rest as [AdmissionOutcome, number, number]
    return { kind: DatagramKind.AdmissionResponse, ...head, outcome, retryMs, backlogMs }
  },
  [DatagramKind.AdmissionCancel]: head => ({ kind: DatagramKind.AdmissionCancel, ...head })
}

/** Negative tokens would make room that the server does not have. */
function isValid (message: AdmissionMessage): boolean {
  const { address, ...fields } = message
  switch (message.kind) {
    case DatagramKind.AdmissionRequest: {
      const { account, ...numbers } = fields as AdmissionRequest
      return typeof account === 'string' && hasFiniteNumbers(numbers) && Math.min(message.tokens, message.heldTokens, message.priority) >= 0
    }
    case DatagramKind.AdmissionResponse: return hasFiniteNumbers(fields) && message.outcome in AdmissionOutcome
    case DatagramKind.AdmissionCancel: return hasFiniteNumbers(fields)
  }
}

function hasFiniteNumbers (fields: object): boolean {
  return Object.values(fields).every(Number.isFinite)
}

/** Returns Nothing for a datagram of another form. */
export function readAdmissionMessage (wire: readonly unknown[]): Maybe<AdmissionMessage> {
  const [kind, address, number, server, ...rest] = wire as readonly [AdmissionMessage['kind'], string, number, number, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string')
    .map(read => read({ address, number, server }, rest))
    .filter(isValid)
}
