/**
 * Messages between instances, and how they are put into bytes: positional
 * arrays by msgpackr, because field names would double the size.
 */
import { Packr } from 'msgpackr'
import { Just, Maybe, Nothing } from 'purify-ts'
import type { Fact, FactKind } from '../softState/fact.js'
import type { ConfigurationPosition, MemberEntry, MemberState } from './member.js'

export enum MessageKind {
  /** Asks the receiver whether it lives. */
  Probe = 1,
  Ack = 2,
  /** Asks the receiver to probe another, whose answers do not reach the sender. */
  ProbeFor = 3,
  /** Carries news of members only. */
  News = 4,
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
  /** Number of the probe that is sent or answered; 0 for none. */
  readonly probe: number
  /** The member that an indirect probe is about; empty for none. */
  readonly about: string
  readonly position: ConfigurationPosition
  /** Hash of who lives in the sender's eyes. */
  readonly tableDigest: number
  readonly entries: readonly MemberEntry[]
  readonly facts: readonly Fact[]
}

/** What every message says of its sender. */
export type MessageHead = Pick<Message, 'sender' | 'incarnation' | 'sequence' | 'sentAt' | 'position' | 'tableDigest'>

/** A message with nothing in it but what is given. */
export function createMessage (parts: MessageHead & Partial<Message>): Message {
  return { kind: MessageKind.News, probe: 0, about: '', entries: [], facts: [], ...parts }
}

export type WireEntry = readonly [string, string, string, string, number, MemberState]
type WireFact = readonly [string, FactKind, string, number, number, unknown]
type WireMessage = readonly [MessageKind, string, number, number, number, number, string, number, number, string, number, readonly WireEntry[], readonly WireFact[]]

/** Leaves room for headers within the smallest usual MTU of 1,280 bytes. */
export const LARGEST_PAYLOAD_BYTES = 1150

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
  return Array.isArray(values) && types.every((expected, index) => expected === ANY || nameOfType(values[index]) === expected)
}

/** Any type; what a fact's value means is its reader's to check. */
const ANY = 'any'
const HEAD = ['number', 'string', 'number', 'number', 'number', 'number', 'string', 'number', 'number', 'string', 'number']
const ENTRY = ['string', 'string', 'string', 'string', 'number', 'number']
const FACT = ['string', 'number', 'string', 'number', 'number', ANY]

export function isEntry (entry: unknown): entry is WireEntry {
  return hasTypes(entry, ENTRY)
}

function isFact (fact: unknown): boolean {
  return hasTypes(fact, FACT)
}

/** Reads a message whose signature has been verified; nothing when its form is another. */
export function decodeMessage (bytes: Uint8Array): Maybe<Message> {
  return Maybe.encase(() => packr.unpack(bytes) as WireMessage).chain(wire => {
    // A member with another release may send another form; taken in, it would end this process.
    if (!hasTypes(wire, HEAD) || !Array.isArray(wire[11]) || !Array.isArray(wire[12])) {
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

/** Bytes an entry takes up in a message, within a few. */
export function entryBytes ({ name, address, controlAddress, failureDomain }: MemberEntry): number {
  return name.length + address.length + controlAddress.length + failureDomain.length + 16
}

/** Bytes a fact takes up in a message. */
export function factBytes (fact: Fact): number {
  return packr.pack(packFact(fact)).length
}
