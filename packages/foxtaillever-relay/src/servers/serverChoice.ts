/** Gives the decision on placement what this instance knows, and takes its answer. */
import { hashNumber, type Clock, type Random } from 'foxtaillever-core'
import { placeExchange, type ServerOffer } from 'foxtaillever-policy/relay/placeExchange'
import { promptKeyOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { FleetUse } from '../peers/fleetUse.js'
import type { WeightsDesk } from '../weights/weightsDesk.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

/** Weights were named some time before they were learned, and a request takes some to begin, milliseconds. */
const WEIGHTS_MARGIN_MS = 1500

export interface ServerChoiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly directory: ServerDirectory
  readonly use: FleetUse
  readonly weights: WeightsDesk
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
    const offers = directory.ready(exchange.service)
      .filter(server => !failed.has(server.listed.id) && this.hasFitWeights(server, exchange))
      .map(server => this.toOffer(server, exchange))
    const need = { promptKey: promptKeyOf(exchange), promptTokens: exchange.prompt?.promptTokens ?? 0, failureDomain }
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
    return since === undefined || clock.now() < since + weightsBoundMs - WEIGHTS_MARGIN_MS
  }

  private toOffer (server: KnownServer, { prompt }: Exchange): ServerOffer {
    const { clock, use, weights, directory } = this.options
    const { listed, outstanding, unreadTokens, changingUntil } = server
    const now = clock.now()
    const others = use.of(listed.id)
    return {
      id: listed.id,
      hash: hashNumber(listed.id),
      failureDomain: listed.failureDomain,
      slots: listed.slots,
      outstanding: outstanding + others.outstanding,
      waitingTokens: unreadTokens + others.tokens,
      faultCostMs: directory.faultCostOf(server, now),
      isChanging: changingUntil > now,
      isOutdated: prompt !== undefined && weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0) !== undefined,
      coldLeftMs: listed.coldLeftMs
    }
  }
}
