/** Gives the decision on placement what this instance knows, and takes its answer. */
import { hashNumber, type Clock, type Random } from 'foxtaillever-core'
import { gatherLongRuns, isLongRun } from 'foxtaillever-policy/relay/gatherLongRuns'
import { placeExchange, type ServerOffer } from 'foxtaillever-policy/relay/placeExchange'
import { promptKeyOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { FleetUse } from '../peers/fleetUse.js'
import type { WeightsDesk } from '../weights/weightsDesk.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

/** Weights were named some time before they were learned, and a request takes some to begin, milliseconds. */
const WEIGHTS_MARGIN_MS = 1500

/** Where most slots are taken a request may wait that much longer before it begins, milliseconds. */
const QUEUED_MARGIN_MS = 1500

/** Part of the slots from which on requests wait. */
const QUEUEING = 0.8

const nobody: ReadonlySet<string> = new Set()

/** A server whose faults cost more than this takes no part in gathering, milliseconds: about one fault in eight. */
const FAULTY_MS = 100

export interface ServerChoiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly directory: ServerDirectory
  readonly use: Pick<FleetUse, 'of'>
  readonly weights: Pick<WeightsDesk, 'outdatedSince'>
  /** After new weights were named no request may begin on older ones, milliseconds. */
  readonly weightsBoundMs: number
}

export class ServerChoice {
  private constructor (private readonly options: ServerChoiceOptions) {}

  static create (options: ServerChoiceOptions): ServerChoice {
    return new ServerChoice(options)
  }

  /** The server for the next try of an exchange, other than those that failed it. */
  place (exchange: Exchange, failed: ReadonlySet<string>): KnownServer | undefined {
    const { directory, random, failureDomain } = this.options
    const ready = directory.ready(exchange.service)
    const isLong = isLongRun(exchange.prompt?.outputTokens ?? 0)
    const gathering = isLong ? this.gather(ready, exchange) : nobody
    const offers = ready
      .filter(server => !failed.has(server.listed.id) && this.hasFitWeights(server, exchange))
      .map(server => this.toOffer(server, exchange, gathering))
    const need = { promptKey: promptKeyOf(exchange), promptTokens: exchange.prompt?.promptTokens ?? 0, isLong, failureDomain }
    const chosen = placeExchange(offers, need, random)
    return chosen && directory.get(chosen.id)
  }

  /** Whether the request may begin there: the model is loaded, and its weights are not older than is allowed. */
  private hasFitWeights (server: KnownServer, { prompt }: Exchange): boolean {
    if (!prompt) {
      return true
    }
    const { clock, weights, weightsBoundMs } = this.options
    const version = server.weights.get(prompt.model)
    const since = version === undefined ? 0 : weights.outdatedSince(prompt.model, version)
    const isQueueing = this.outstandingAt(server) > server.listed.slots * QUEUEING
    return since === undefined || clock.now() < since + weightsBoundMs - WEIGHTS_MARGIN_MS - (isQueueing ? QUEUED_MARGIN_MS : 0)
  }

  private isOutdated (server: KnownServer, { prompt }: Exchange): boolean {
    return prompt !== undefined && this.options.weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0) !== undefined
  }

  private outstandingAt ({ listed, outstanding }: KnownServer): number {
    return outstanding + this.options.use.of(listed.id).outstanding
  }

  private gather (servers: readonly KnownServer[], exchange: Exchange): ReadonlySet<string> {
    const now = this.options.clock.now()
    return gatherLongRuns(servers.map(server => ({
      id: server.listed.id,
      hash: hashNumber(server.listed.id),
      isOutdated: this.isOutdated(server, exchange),
      isOut: server.changingUntil > now || this.options.directory.faultCostOf(server, now) > FAULTY_MS,
      weightsOrder: server.weightsOrder,
      slots: server.listed.slots,
      outstanding: this.outstandingAt(server)
    })))
  }

  private toOffer (server: KnownServer, exchange: Exchange, gathering: ReadonlySet<string>): ServerOffer {
    const { clock, directory, use } = this.options
    const { listed, unreadTokens, changingUntil } = server
    const now = clock.now()
    return {
      id: listed.id,
      hash: hashNumber(listed.id),
      failureDomain: listed.failureDomain,
      slots: listed.slots,
      outstanding: this.outstandingAt(server),
      waitingTokens: unreadTokens + use.of(listed.id).tokens,
      faultCostMs: directory.faultCostOf(server, now),
      isChanging: changingUntil > now,
      isOutdated: this.isOutdated(server, exchange),
      isGathering: gathering.has(listed.id),
      coldLeftMs: listed.coldLeftMs
    }
  }
}
