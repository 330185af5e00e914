/**
 * Messages between instances and their encoding: positional arrays encoded by
 * msgpackr, because field names would double the size.
 */
import { Packr } from 'msgpackr'
import { Just, Maybe, Nothing } from 'purify-ts'
import type { Fact, FactKind } from '../softState/fact.js'
import type { ConfigurationPosition, MemberEntry, MemberState } from './member.js'

export enum MessageKind {
  /** Checks whether the receiver is alive. */
  Probe = 1,
  Ack = 2,
  /** Asks the receiver to probe another member that does not answer the sender. */
  IndirectProbe = 3,
  /** Carries only member updates. */
  MemberUpdates = 4,
  /** Carries soft state. */
  Facts = 5
}

export interface Message {
  readonly kind: MessageKind
  readonly sender: string
  readonly incarnation: number
  readonly sequence: number
  /** Sender's clock, milliseconds of Unix time. */
  readonly sentAt: number
  /** Number of the probe that is sent or acknowledged; 0 for none. */
  readonly probe: number
  /** Target of an indirect probe; empty for none. */
  readonly about: string
  readonly position: ConfigurationPosition
  /** Hash of the members that are alive in the sender's table. */
  readonly tableDigest: number
  readonly entries: readonly MemberEntry[]
  readonly facts: readonly Fact[]
}

/** What every message states about its sender. */
export type MessageHead = Pick<Message, 'sender' | 'incarnation' | 'sequence' | 'sentAt' | 'position' | 'tableDigest'>

/** A message with the given parts and empty defaults. */
export function createMessage (parts: MessageHead & Partial<Message>): Message {
  return { kind: MessageKind.MemberUpdates, probe: 0, about: '', entries: [], facts: [], ...parts }
}

export type WireEntry = readonly [string, string, string, string, number, MemberState]
type WireFact = readonly [string, FactKind, string, number, number, unknown]
type WireMessage = readonly [MessageKind, string, number, number, number, number, string, number, number, string, number, readonly WireEntry[], readonly WireFact[]]

/** Leaves space for headers within the smallest usual MTU, 1,280 bytes. */
export const MAX_PAYLOAD_BYTES = 1150

const packr = new Packr({ useRecords: false })

export function packEntry (entry: MemberEntry): WireEntry {
  return [entry.name, entry.address, entry.controlAddress, entry.failureDomain, entry.incarnation, entry.state]
}

export function unpackEntry ([name, address, controlAddress, failureDomain, incarnation, state]: WireEntry): MemberEntry {
  return { name, address, controlAddress, failureDomain, incarnation, state }
}

function packFact (fact: Fact): WireFact {
  return [fact.source, fact.kind, fact.key, fact.version, fact.deadline, fact.value]
}

function unpackFact ([source, kind, key, version, deadline, value]: WireFact): Fact {
  return { source, kind, key, version, deadline, value }
}

export function encodeMessage (message: Message): Buffer {
  const { position } = message
  const wire: WireMessage = [
    message.kind, message.sender, message.incarnation, message.sequence, message.sentAt, message.probe, message.about,
    position.revision, position.offset, position.digest, message.tableDigest,
    message.entries.map(packEntry), message.facts.map(packFact)
  ]
  return packr.pack(wire)
}

function nameOfType (value: unknown): string {
  return typeof value
}

function hasTypes (values: unknown, types: readonly string[]): boolean {
  return Array.isArray(values) && types.every((expected, index) => expected === ANY_TYPE || nameOfType(values[index]) === expected)
}

/** Matches any type; the reader of a fact checks its value. */
const ANY_TYPE = 'any'
const HEAD_TYPES = ['number', 'string', 'number', 'number', 'number', 'number', 'string', 'number', 'number', 'string', 'number']
const ENTRY_TYPES = ['string', 'string', 'string', 'string', 'number', 'number']
const FACT_TYPES = ['string', 'number', 'string', 'number', 'number', ANY_TYPE]

export function isEntry (entry: unknown): entry is WireEntry {
  return hasTypes(entry, ENTRY_TYPES)
}

function isFact (fact: unknown): boolean {
  return hasTypes(fact, FACT_TYPES)
}

/** Decodes a message whose signature has been verified; Nothing if its format is not valid. */
export function decodeMessage (bytes: Uint8Array): Maybe<Message> {
  return Maybe.encase(() => packr.unpack(bytes) as WireMessage).chain(wire => {
    // A member with another release may use another format; applied unchecked, it would crash this process.
    if (!hasTypes(wire, HEAD_TYPES) || !Array.isArray(wire[11]) || !Array.isArray(wire[12])) {
      return Nothing
    }
    if (!wire[11].every(isEntry) || !wire[12].every(isFact)) {
      return Nothing
    }
    const [kind, sender, incarnation, sequence, sentAt, probe, about, revision, offset, digest, tableDigest, entries, facts] = wire
    const position = { revision, offset, digest }
    return Just({ kind, sender, incarnation, sequence, sentAt, probe, about, position, tableDigest, entries: entries.map(unpackEntry), facts: facts.map(unpackFact) })
  })
}

/** Approximate size of an entry in a message, bytes. */
export function entryBytes ({ name, address, controlAddress, failureDomain }: MemberEntry): number {
  return name.length + address.length + controlAddress.length + failureDomain.length + 16
}

/** Size of a fact in a message, bytes. */
export function factBytes (fact: Fact): number {
  return packr.pack(packFact(fact)).length
}
