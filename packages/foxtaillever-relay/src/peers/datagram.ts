/**
 * The form of all datagrams between instances: arrays by position, because names
 * would double the size. Each is unpacked once; its first element says what it
 * is. Without the package's native part, which takes longer to find at the start
 * than it saves in such small messages.
 */
import { Packr } from 'msgpackr/pack'
import { Maybe } from 'purify-ts'

/** First element of every datagram but a beat, which begins with a name. */
export enum DatagramKind {
  ReadNotice = 1,
  Weights = 2,
  LoadWord = 11,
  LoadQuestion = 12,
  LoadAnswer = 13,
  LimitQuestion = 21,
  LimitAnswer = 22,
  LimitReturn = 23,
  LimitRenewal = 24,
  LimitPromise = 25
}

const packr = new Packr({ useRecords: false })

export function packDatagram (wire: readonly unknown[]): Buffer {
  return packr.pack(wire)
}

/** Nothing for bytes that are no datagram of ours. */
export function unpackDatagram (bytes: Uint8Array): Maybe<readonly unknown[]> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown).filter((wire): wire is readonly unknown[] => Array.isArray(wire))
}
