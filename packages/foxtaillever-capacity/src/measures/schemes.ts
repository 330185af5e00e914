/**
 * What each way of spreading soft state costs a daemon, from the measured size
 * and processor time of a message: fan-out times rate times size.
 */
import { bytesOf, createTestMessage, measureMessage, type MessageCost } from './messageCost.js'

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

/** Each member has one fact to tell in each period of this, milliseconds. */
const PERIOD_MS = 1000

const TICKS_PER_SECOND = 2

/** Facts that share one datagram on an inner path of a busy tree or in gossip. */
const FACTS_PER_DATAGRAM = 12

const SECOND_MS = 1000

interface Costs {
  /** One fact alone. */
  readonly single: MessageCost
  readonly full: MessageCost
  readonly probe: MessageCost
}

function cost (scheme: Scheme, message: MessageCost, sentMessages: number, receivedMessages: number): SchemeCost {
  const microseconds = sentMessages * message.makeMicroseconds + receivedMessages * message.takeMicroseconds
  return { scheme, sentPerSecond: sentMessages * message.bytes, receivedPerSecond: receivedMessages * message.bytes, corePercent: microseconds / 1e4 }
}

type Sum = (members: number, costs: Costs) => SchemeCost

const rate = SECOND_MS / PERIOD_MS

const sums: Record<Scheme, Sum> = {
  [Scheme.AllToAll]: (members, { single }) => cost(Scheme.AllToAll, single, (members - 1) * rate, (members - 1) * rate),
  // One message to the broadcaster, one full view from it, in datagrams.
  [Scheme.SuppressiveRegular]: (members, { single, full }) => {
    const view = cost(Scheme.SuppressiveRegular, full, 0, Math.ceil(members / FACTS_PER_DATAGRAM) * rate)
    const own = cost(Scheme.SuppressiveRegular, single, rate, 0)
    return add(view, own)
  },
  // Without broadcast on the network the view goes to each member by itself.
  [Scheme.SuppressiveBroadcaster]: (members, { single, full }) => {
    const view = cost(Scheme.SuppressiveBroadcaster, full, Math.ceil(members / FACTS_PER_DATAGRAM) * (members - 1) * rate, 0)
    const others = cost(Scheme.SuppressiveBroadcaster, single, 0, (members - 1) * rate)
    return add(view, others)
  },
  [Scheme.Gossip]: (members, { full }) => {
    const tellings = Math.ceil(2 * Math.log2(members + 2))
    const messages = members * rate * tellings / FACTS_PER_DATAGRAM
    return cost(Scheme.Gossip, full, messages, messages)
  },
  // Each member gets each fact once and, on average, passes each on once.
  [Scheme.SharedTree]: (members, { single }) => cost(Scheme.SharedTree, single, (members - 1) * rate, (members - 1) * rate),
  [Scheme.Probing]: (_, { probe }) => cost(Scheme.Probing, probe, 2 * TICKS_PER_SECOND, 2 * TICKS_PER_SECOND)
}

function add (one: SchemeCost, other: SchemeCost): SchemeCost {
  return {
    scheme: one.scheme,
    sentPerSecond: one.sentPerSecond + other.sentPerSecond,
    receivedPerSecond: one.receivedPerSecond + other.receivedPerSecond,
    corePercent: one.corePercent + other.corePercent
  }
}

export function measureCosts (): Costs {
  return { single: measureMessage(0, 1), full: measureMessage(0, FACTS_PER_DATAGRAM), probe: measureMessage(1, 0) }
}

export function weighSchemes (members: number, costs: Costs): readonly SchemeCost[] {
  return Object.values(Scheme).map(scheme => sums[scheme](members, costs))
}

/** Bytes that each further fact or entry adds to a message. */
export function bytesEach (): { readonly fixed: number, readonly fact: number, readonly entry: number } {
  const fixed = bytesOf(createTestMessage(0, 0))
  return {
    fixed,
    fact: (bytesOf(createTestMessage(0, 10)) - fixed) / 10,
    entry: (bytesOf(createTestMessage(10, 0)) - fixed) / 10
  }
}
