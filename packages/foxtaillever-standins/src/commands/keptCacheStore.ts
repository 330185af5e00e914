import { Command, Option } from 'clipanion'
import { KeptCacheStoreModel } from '../platform/keptCacheStoreModel.js'
import { createKeptCacheStoreServer } from '../platform/keptCacheStoreServer.js'
import { StandinCommand } from './standinCommand.js'

export class KeptCacheStoreCommand extends StandinCommand {
  static override paths = [['kept-cache-store']]
  static override usage = Command.Usage({
    description: 'Serve the kept-cache store.',
    details: 'Faults are switched at run time: POST /faults with outage.'
  })

  capacity = Option.String('--capacity-tokens', '4000000', { description: 'Room for kept blocks, tokens.' })

  async execute (): Promise<void> {
    const model = KeptCacheStoreModel.create(this.parseNumber('--capacity-tokens', this.capacity, 1))
    await this.serve('kept-cache-store', createKeptCacheStoreServer(model))
  }
}
