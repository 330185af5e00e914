import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { InstanceListModel } from '../platform/instanceListModel.js'
import { createInstanceListServer } from '../platform/instanceListServer.js'
import { StandinCommand } from './standinCommand.js'

export class InstanceListCommand extends StandinCommand {
  static override paths = [['instance-list']]
  static override usage = Command.Usage({
    description: 'Serve the platform\'s lagging list of instances.',
    details: 'Faults are switched at run time: POST /faults with outage and lagMs.'
  })

  lag = Option.String('--lag-ms', '1500', { description: 'How old the list is, milliseconds.' })

  async execute (): Promise<void> {
    const model = InstanceListModel.create(this.parseNumber('--lag-ms', this.lag), SystemClock.create())
    await this.serve('instance-list', createInstanceListServer(model))
  }
}
