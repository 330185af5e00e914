/**
 * Encoding of all datagrams between instances: positional arrays, because field
 * names would double the size. Each is unpacked once; its first element is its
 * kind. The native extension of msgpackr is not used: loading it at startup takes
 * longer than it saves on such small messages.
 */
import { Packr } from 'msgpackr/pack'
import { Maybe } from 'purify-ts'

/** First element of every datagram except a heartbeat, which begins with the sender's name. */
export enum DatagramKind {
  ReadNotice = 1,
  Weights = 2,
  ServerLoadReport = 11,
  LoadRequest = 12,
  LoadResponse = 13,
  LimitRequest = 21,
  LimitResponse = 22,
  LimitRefund = 23,
  LimitRenewal = 24,
  LimitPromise = 25,
  AdmissionRequest = 31,
  AdmissionResponse = 32,
  AdmissionCancel = 33,
  StreamVersionNotice = 41,
  StreamVersionAcknowledgement = 42,
  StreamVersionRequest = 43,
  StreamVersionResponse = 44,
  CrashReport = 51,
  CrashRetraction = 52,
  AnsweredNotice = 53,
  SuspicionNotice = 54,
  TrialRequest = 55,
  TrialResponse = 56,
  QuarantineNotice = 57
}

const packr = new Packr({ useRecords: false })

export function packDatagram (wire: readonly unknown[]): Buffer {
  return packr.pack(wire)
}

/** Nothing for bytes that are not a datagram of this protocol. */
export function unpackDatagram (bytes: Uint8Array): Maybe<readonly unknown[]> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown).filter((wire): wire is readonly unknown[] => Array.isArray(wire))
}
