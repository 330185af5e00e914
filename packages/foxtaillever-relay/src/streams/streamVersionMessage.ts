/** Datagrams between instances about the software versions that began streams, encoded as arrays by position. */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from '../peers/datagram.js'

/** The software version of the server that sent a stream's first event. */
export interface StreamVersion {
  /** Id of the caller's attempt that brought the first event. */
  readonly id: string
  readonly service: string
  readonly softwareVersion: string
}

/** Asks the receiver to keep a stream's version; it acknowledges it. */
export interface StreamVersionNotice extends StreamVersion {
  readonly kind: DatagramKind.StreamVersionNotice
  /** Of the sender, as in all messages here. */
  readonly address: string
}

export interface StreamVersionAcknowledgement {
  readonly kind: DatagramKind.StreamVersionAcknowledgement
  readonly address: string
  readonly id: string
}

/** Asks for a stream's version. */
export interface StreamVersionRequest {
  readonly kind: DatagramKind.StreamVersionRequest
  readonly address: string
  readonly id: string
  /** Service for which the asking instance would send the request. */
  readonly service: string
}

export interface StreamVersionResponse {
  readonly kind: DatagramKind.StreamVersionResponse
  readonly address: string
  readonly id: string
  /** Undefined where the responder does not know it. */
  readonly softwareVersion: string | undefined
  /** Whether servers of several versions serve the service, as far as the responder knows. */
  readonly areSeveral: boolean
  /** Whether the responder has run long enough to know which versions served a moment ago. */
  readonly hasFullKnowledge: boolean
}

export type StreamVersionMessage = StreamVersionNotice | StreamVersionAcknowledgement | StreamVersionRequest | StreamVersionResponse

export function encodeStreamVersionMessage (message: StreamVersionMessage): Buffer {
  const { kind, address, id } = message
  switch (kind) {
    case DatagramKind.StreamVersionNotice: return packDatagram([kind, address, id, message.service, message.softwareVersion])
    case DatagramKind.StreamVersionAcknowledgement: return packDatagram([kind, address, id])
    case DatagramKind.StreamVersionRequest: return packDatagram([kind, address, id, message.service])
    case DatagramKind.StreamVersionResponse: return packDatagram([kind, address, id, message.softwareVersion ?? null, message.areSeveral, message.hasFullKnowledge])
  }
}

type MessageHead = Pick<StreamVersionMessage, 'address' | 'id'>

const readers: Readonly<Record<StreamVersionMessage['kind'], (head: MessageHead, rest: readonly unknown[]) => StreamVersionMessage>> = {
  [DatagramKind.StreamVersionNotice]: (head, [service, softwareVersion]) => ({ kind: DatagramKind.StreamVersionNotice, ...head, service: String(service), softwareVersion: String(softwareVersion) }),
  [DatagramKind.StreamVersionAcknowledgement]: head => ({ kind: DatagramKind.StreamVersionAcknowledgement, ...head }),
  [DatagramKind.StreamVersionRequest]: (head, [service]) => ({ kind: DatagramKind.StreamVersionRequest, ...head, service: String(service) }),
  [DatagramKind.StreamVersionResponse]: (head, [softwareVersion, areSeveral, hasFullKnowledge]) => ({
    kind: DatagramKind.StreamVersionResponse, ...head, softwareVersion: typeof softwareVersion === 'string' ? softwareVersion : undefined, areSeveral: areSeveral === true, hasFullKnowledge: hasFullKnowledge === true
  })
}

/** Returns Nothing for a datagram of another form. */
export function readStreamVersionMessage (wire: readonly unknown[]): Maybe<StreamVersionMessage> {
  const [kind, address, id, ...rest] = wire as readonly [StreamVersionMessage['kind'], unknown, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string' && typeof id === 'string')
    .map(read => read({ address: address as string, id: id as string }, rest))
}
