import { Command, Option } from 'clipanion'
import { EngineRole, SeededRandom, SystemClock } from 'foxtaillever-core'
import { EngineModel, type EngineDependencies } from '../engine/engineModel.js'
import { createEngineServer } from '../engine/engineServer.js'
import type { EngineOptions } from '../engine/generation.js'
import { connectKeptCacheStore } from '../platform/keptCacheStoreServer.js'
import { connectWeightStore } from '../platform/weightStoreServer.js'
import { StandinCommand } from './standinCommand.js'

export class EngineCommand extends StandinCommand {
  static override paths = [['engine']]
  static override usage = Command.Usage({
    description: 'Serve a model engine.',
    details: 'Faults are switched at run time: POST /faults with slowFactor, frozen, cutStreams, cutAfterTokens, lostEventShare, eventLagMs, loadLagMs, poisonMarker, restartMs, and at once crash or leave set to true.'
  })

  name = Option.String('--name', 'engine', { description: 'Name of the engine, part of its incarnations.' })
  models = Option.String('--models', 'order-language', { description: 'Models it runs, separated by commas.' })
  weights = Option.String('--weights', 'v1', { description: 'Version of the weights loaded.' })
  adapters = Option.String('--adapters', '', { description: 'Adapters loaded, separated by commas.' })
  slots = Option.String('--slots', '8', { description: 'Requests it runs at once.' })
  prefill = Option.String('--prefill-tokens-per-second', '20000', { description: 'Prompt tokens a second.' })
  decode = Option.String('--decode-tokens-per-second', '50', { description: 'Tokens a second for each request.' })
  cache = Option.String('--cache-tokens', '65536', { description: 'Room for cached blocks, tokens.' })
  kept = Option.String('--cache-kept-ms', '10000', { description: 'Blocks unused for this long are evicted, milliseconds.' })
  eventLag = Option.String('--event-lag-ms', '500', { description: 'How late cache events come, milliseconds.' })
  loadLag = Option.String('--load-lag-ms', '500', { description: 'How old load reports are, milliseconds.' })
  checksFencing = Option.Boolean('--checks-fencing', false, { description: 'Refuse orders with an old fencing number.' })
  trustedCallers = Option.String('--trusted-callers', { description: 'Callers whose orders are taken, separated by commas; without it no one is checked.' })
  weightStore = Option.String('--weight-store', { description: 'Address of the weight store, such as http://127.0.0.1:9000; without it the engine has one of its own.' })
  keptCacheStore = Option.String('--kept-cache-store', { description: 'Address of the kept-cache store; without it the engine has one of its own.' })
  seed = Option.String('--seed', '1', { description: 'Seed of the losses of cache events.' })

  async execute (): Promise<void> {
    const model = EngineModel.create(this.options(), SystemClock.create(), this.dependencies())
    await this.serve(this.name, createEngineServer(model))
  }

  private options (): EngineOptions {
    return {
      name: this.name,
      models: splitList(this.models),
      weightsVersion: this.weights,
      adapters: splitList(this.adapters),
      role: EngineRole.Mixed,
      slots: this.parseNumber('--slots', this.slots, 1),
      prefillTokensPerSecond: this.parseNumber('--prefill-tokens-per-second', this.prefill, 1),
      decodeTokensPerSecond: this.parseNumber('--decode-tokens-per-second', this.decode, 1),
      cacheTokens: this.parseNumber('--cache-tokens', this.cache),
      cacheKeptMs: this.parseNumber('--cache-kept-ms', this.kept),
      eventLagMs: this.parseNumber('--event-lag-ms', this.eventLag),
      loadLagMs: this.parseNumber('--load-lag-ms', this.loadLag),
      checksFencing: this.checksFencing,
      ...(this.trustedCallers === undefined ? {} : { trustedCallers: splitList(this.trustedCallers) })
    }
  }

  private dependencies (): EngineDependencies {
    return {
      random: SeededRandom.create(this.parseNumber('--seed', this.seed)),
      ...(this.weightStore === undefined ? {} : { weightStore: connectWeightStore(this.weightStore) }),
      ...(this.keptCacheStore === undefined ? {} : { keptCacheStore: connectKeptCacheStore(this.keptCacheStore) })
    }
  }
}

function splitList (list: string): string[] {
  return list.split(',').filter(entry => entry !== '')
}
