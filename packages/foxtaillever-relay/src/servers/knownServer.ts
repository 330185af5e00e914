/** What this instance knows of one start of a backend server. */
import { hashNumber } from 'foxtaillever-core'
import { ServerHealth } from 'foxtaillever-policy/relay/serverHealth'
import type { StatedAvailability } from 'foxtaillever-policy/relay/statedAvailability'
import type { ListedServer } from '../model/listedServer.js'
import type { ServerConnections } from './serverConnections.js'

/** What an incarnation is called among instances. */
export function incarnationHash ({ id, startedAt }: Pick<ListedServer, 'id' | 'startedAt'>): number {
  return hashNumber(startedAt === 0 ? id : `${id}@${startedAt}`)
}

/** A version of one model's weights. */
export interface WeightsOf {
  readonly model: string
  readonly version: number
}

export interface KnownServer {
  listed: ListedServer
  /** Of the incarnation: what instances call it among themselves, so that a word on the former one is not taken for this one. */
  readonly hash: number
  /** Of its id, by which levels have their homes. */
  readonly idHash: number
  /** Offset of the record that the entry comes from; a lower one never replaces it. */
  offset: number
  readonly connections: ServerConnections
  /** What it has stated of itself. */
  readonly stated: StatedAvailability
  /** Newest weights version seen of each model, by the list, a report or an answer. */
  readonly weights: Map<string, number>
  /** Requests of this instance that it has not answered yet. */
  outstanding: number
  /** Prompt tokens that it has yet to read for these before their first event. */
  unreadTokens: number
  /** Tokens of its memory that these take until they end. */
  heldTokens: number
  /** Another server was found at its address: it gets nothing until then, milliseconds of Unix time. */
  displacedUntil: number
  /** Nobody listened at its address: it gets nothing that can go elsewhere until then, milliseconds of Unix time. */
  absentUntil: number
  /** The limit that it stated is used up: it gets nothing until then, milliseconds of Unix time. */
  limitedUntil: number
  /** When it last turned a request away, milliseconds of Unix time. */
  refusedAt: number
  /** It rests for other instances, as far as was asked for, until then, milliseconds of Unix time. */
  restingForOthersUntil: number
  readonly health: ServerHealth
  /** When the newest of the requests was sent that it has begun to answer, milliseconds of Unix time. */
  newestBegun: number
  /** An order changes its weights until then, milliseconds of Unix time. */
  changingUntil: number
  /** The weights that it will have after that; undefined when it never changed. */
  changingTo: WeightsOf | undefined
}

/** A start of which nothing is known but its entry and what it has stated already. */
export function createKnownServer (listed: ListedServer, offset: number, stated: StatedAvailability, connections: ServerConnections): KnownServer {
  return {
    listed,
    hash: incarnationHash(listed),
    idHash: hashNumber(listed.id),
    offset,
    connections,
    stated,
    weights: new Map(),
    outstanding: 0,
    unreadTokens: 0,
    heldTokens: 0,
    displacedUntil: 0,
    absentUntil: 0,
    limitedUntil: 0,
    refusedAt: 0,
    restingForOthersUntil: 0,
    health: ServerHealth.create(),
    newestBegun: 0,
    changingUntil: 0,
    changingTo: undefined
  }
}
