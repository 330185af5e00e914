import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { EngineModel } from '../engine/engineModel.js'
import { createEngineServer } from '../engine/engineServer.js'
import { serve } from './serve.js'
import { StandinCommand } from './standinCommand.js'

export class EngineCommand extends StandinCommand {
  static override paths = [['engine']]
  static override usage = Command.Usage({ description: 'Serve a model engine.' })

  name = Option.String('--name', 'engine', { description: 'Name of the engine, part of its incarnations.' })
  models = Option.String('--models', 'order-language', { description: 'Models it runs, separated by commas.' })
  weights = Option.String('--weights', 'v1', { description: 'Version of the weights loaded.' })
  slots = Option.String('--slots', '8', { description: 'Requests it runs at once.' })
  prefill = Option.String('--prefill-tokens-per-second', '20000', { description: 'Prompt tokens a second.' })
  decode = Option.String('--decode-tokens-per-second', '50', { description: 'Tokens a second for each request.' })
  cache = Option.String('--cache-tokens', '65536', { description: 'Room for cached blocks, tokens.' })
  kept = Option.String('--cache-kept-ms', '10000', { description: 'Blocks unused for this long are evicted, milliseconds.' })

  async execute (): Promise<void> {
    const model = EngineModel.create({
      name: this.name,
      models: this.models.split(','),
      weightsVersion: this.weights,
      slots: Number(this.slots),
      prefillTokensPerSecond: Number(this.prefill),
      decodeTokensPerSecond: Number(this.decode),
      cacheTokens: Number(this.cache),
      cacheKeptMs: Number(this.kept)
    }, SystemClock.create())
    await serve(this.name, createEngineServer(model), this.host, this.listenPort())
  }
}
