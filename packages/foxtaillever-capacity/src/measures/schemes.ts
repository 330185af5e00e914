/**
 * Computes what each scheme that disseminates soft state costs a daemon, from the
 * measured size and processor time of a message: fan-out times rate times size.
 */
import { countMessageBytes, createTestMessage, measureMessage, type MessageCost } from './messageCost.js'

export enum Scheme {
  AllToAll = 'all to all, each its own, 1 Hz',
  SuppressiveRegular = 'suppressive broadcast, a regular member',
  SuppressiveBroadcaster = 'suppressive broadcast, the broadcaster',
  Gossip = 'gossip, each fact told 2 log2 n times',
  SharedTree = 'computed tree, fan-out 8',
  Probing = 'probing one a tick, facts on change only'
}

export interface SchemeCost {
  readonly scheme: Scheme
  readonly sentPerSecond: number
  readonly receivedPerSecond: number
  readonly corePercent: number
}

/** Each member announces one fact in each period, milliseconds. */
const PERIOD_MS = 1000

const TICKS_PER_SECOND = 2

/** Facts that share one datagram in gossip or within a busy tree. */
const FACTS_PER_DATAGRAM = 12

const SECOND_MS = 1000

interface MessageCosts {
  /** A message with one fact. */
  readonly single: MessageCost
  readonly full: MessageCost
  readonly probe: MessageCost
}

function computeCost (scheme: Scheme, message: MessageCost, sentMessages: number, receivedMessages: number): SchemeCost {
  const microseconds = sentMessages * message.encodeMicroseconds + receivedMessages * message.decodeMicroseconds
  return { scheme, sentPerSecond: sentMessages * message.bytes, receivedPerSecond: receivedMessages * message.bytes, corePercent: microseconds / 1e4 }
}

type SchemeFormula = (members: number, costs: MessageCosts) => SchemeCost

const rate = SECOND_MS / PERIOD_MS

const schemeFormulas: Record<Scheme, SchemeFormula> = {
  [Scheme.AllToAll]: (members, { single }) => computeCost(Scheme.AllToAll, single, (members - 1) * rate, (members - 1) * rate),
  // A regular member sends one message to the broadcaster and receives the facts of all members in full datagrams.
  [Scheme.SuppressiveRegular]: (members, { single, full }) => {
    const view = computeCost(Scheme.SuppressiveRegular, full, 0, Math.ceil(members / FACTS_PER_DATAGRAM) * rate)
    const own = computeCost(Scheme.SuppressiveRegular, single, rate, 0)
    return addCosts(view, own)
  },
  // Without network broadcast, the broadcaster sends the facts of all members to each member separately.
  [Scheme.SuppressiveBroadcaster]: (members, { single, full }) => {
    const view = computeCost(Scheme.SuppressiveBroadcaster, full, Math.ceil(members / FACTS_PER_DATAGRAM) * (members - 1) * rate, 0)
    const others = computeCost(Scheme.SuppressiveBroadcaster, single, 0, (members - 1) * rate)
    return addCosts(view, others)
  },
  [Scheme.Gossip]: (members, { full }) => {
    const copiesPerFact = Math.ceil(2 * Math.log2(members + 2))
    const messages = members * rate * copiesPerFact / FACTS_PER_DATAGRAM
    return computeCost(Scheme.Gossip, full, messages, messages)
  },
  // Each member receives each fact once and, on average, forwards each once.
  [Scheme.SharedTree]: (members, { single }) => computeCost(Scheme.SharedTree, single, (members - 1) * rate, (members - 1) * rate),
  [Scheme.Probing]: (_, { probe }) => computeCost(Scheme.Probing, probe, 2 * TICKS_PER_SECOND, 2 * TICKS_PER_SECOND)
}

function addCosts (a: SchemeCost, b: SchemeCost): SchemeCost {
  return {
    scheme: a.scheme,
    sentPerSecond: a.sentPerSecond + b.sentPerSecond,
    receivedPerSecond: a.receivedPerSecond + b.receivedPerSecond,
    corePercent: a.corePercent + b.corePercent
  }
}

export function measureCosts (): MessageCosts {
  return { single: measureMessage(0, 1), full: measureMessage(0, FACTS_PER_DATAGRAM), probe: measureMessage(1, 0) }
}

export function computeSchemeCosts (members: number, costs: MessageCosts): readonly SchemeCost[] {
  return Object.values(Scheme).map(scheme => schemeFormulas[scheme](members, costs))
}

/** Measures the bytes of an empty message and those that each fact or entry adds. */
export function measureSizes (): { readonly fixed: number, readonly fact: number, readonly entry: number } {
  const fixed = countMessageBytes(createTestMessage(0, 0))
  return {
    fixed,
    fact: (countMessageBytes(createTestMessage(0, 10)) - fixed) / 10,
    entry: (countMessageBytes(createTestMessage(10, 0)) - fixed) / 10
  }
}
