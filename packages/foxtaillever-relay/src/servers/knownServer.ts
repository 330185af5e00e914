/** What this instance knows about one incarnation of a backend server. */
import { hashNumber } from 'foxtaillever-core'
import { ServerHealth } from 'foxtaillever-policy/relay/serverHealth'
import { ordinarySpeed, type ObservedSpeed } from 'foxtaillever-policy/relay/serverSpeed'
import type { StatedAvailability } from 'foxtaillever-policy/relay/statedAvailability'
import type { ListedServer } from '../model/listedServer.js'
import type { ServerConnections } from './serverConnections.js'

/** Identifies an incarnation in messages between instances. */
export function incarnationHash ({ id, startedAt }: Pick<ListedServer, 'id' | 'startedAt'>): number {
  return hashNumber(startedAt === 0 ? id : `${id}@${startedAt}`)
}

/** A version of one model's weights. */
export interface ModelWeights {
  readonly model: string
  readonly version: number
}

export interface KnownServer {
  listed: ListedServer
  /** Hash of the incarnation, by which instances identify it: a message about the previous incarnation is not applied to this one. */
  readonly hash: number
  /** Hash of its id, by which rendezvous hashing assigns prompt levels to their home servers. */
  readonly idHash: number
  /** Start that the entry names, milliseconds of Unix time: the server itself may have reported a later one since. */
  entryStartedAt: number
  /** Offset of the record that the entry comes from; a record with a lower offset never replaces it. */
  offset: number
  readonly connections: ServerConnections
  /** What the server has stated about itself. */
  readonly stated: StatedAvailability
  /** Newest weights version of each model, as seen in the server list, a report or an answer. */
  readonly weights: Map<string, number>
  /** Requests from this instance that the server has not answered yet. */
  outstanding: number
  /** Prompt tokens of the outstanding requests that the server must still process before their first events. */
  unreadTokens: number
  /** Tokens of the server's memory that the outstanding requests occupy until they end. */
  heldTokens: number
  /** Another server answered at its address: nothing is sent to it until then, milliseconds of Unix time. */
  displacedUntil: number
  /** Its address refused a connection: until then it gets only requests that no other server can take, milliseconds of Unix time. */
  unreachableUntil: number
  /** The limit that it stated is used up: it gets no requests until then, milliseconds of Unix time. */
  limitedUntil: number
  /** When the server last refused a request, milliseconds of Unix time. */
  refusedAt: number
  /** Other instances reported, when queried, that the server asked them for backoff; counts until then, milliseconds of Unix time. */
  peerBackoffUntil: number
  readonly health: ServerHealth
  /** Its reading speed, as its first watcher announces it. */
  speed: ObservedSpeed
  /** When the most recently sent of the requests that it has begun to answer was sent, milliseconds of Unix time. */
  newestAnsweredSentAt: number
  /** When this instance last received anything from it, milliseconds of Unix time; 0 for never. */
  heardAt: number
  /** When connections of this instance to it began to break, nothing heard since, milliseconds of Unix time; before `heardAt` if none did. */
  brokenAt: number
  /** When its address last refused a connection while others were reached, so that no process listened there, milliseconds of Unix time; 0 for never. */
  refusedConnectionAt: number
  /** Its weights are being changed by an order until then, milliseconds of Unix time. */
  changingUntil: number
  /** The weights that it will have after that change; undefined if its weights were never changed. */
  changingTo: ModelWeights | undefined
}

/** Creates an incarnation about which only its entry and its earlier statements are known. */
export function createKnownServer (listed: ListedServer, offset: number, stated: StatedAvailability, connections: ServerConnections): KnownServer {
  return {
    listed,
    hash: incarnationHash(listed),
    idHash: hashNumber(listed.id),
    entryStartedAt: listed.startedAt,
    offset,
    connections,
    stated,
    weights: new Map(),
    outstanding: 0,
    unreadTokens: 0,
    heldTokens: 0,
    displacedUntil: 0,
    unreachableUntil: 0,
    limitedUntil: 0,
    refusedAt: 0,
    peerBackoffUntil: 0,
    health: ServerHealth.create(),
    speed: ordinarySpeed,
    newestAnsweredSentAt: 0,
    heardAt: 0,
    brokenAt: 0,
    refusedConnectionAt: 0,
    changingUntil: 0,
    changingTo: undefined
  }
}
