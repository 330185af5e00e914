import { Command } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { WeightStoreModel } from '../platform/weightStoreModel.js'
import { createWeightStoreServer } from '../platform/weightStoreServer.js'
import { StandinCommand } from './standinCommand.js'

export class WeightStoreCommand extends StandinCommand {
  static override paths = [['weight-store']]
  static override usage = Command.Usage({
    description: 'Serve the rate-limited weight store.',
    details: 'Faults are switched at run time: POST /faults with outage and slowFactor.'
  })

  async execute (): Promise<void> {
    await this.serve('weight-store', createWeightStoreServer(WeightStoreModel.create(SystemClock.create())))
  }
}
