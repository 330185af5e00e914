import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { InstanceListModel } from '../platform/instanceListModel.js'
import { createInstanceListServer } from '../platform/instanceListServer.js'
import { serve } from './serve.js'
import { StandinCommand } from './standinCommand.js'

export class InstanceListCommand extends StandinCommand {
  static override paths = [['instance-list']]
  static override usage = Command.Usage({ description: 'Serve the platform\'s lagging list of instances.' })

  lag = Option.String('--lag-ms', '1500', { description: 'How old the list is, milliseconds.' })

  async execute (): Promise<void> {
    const model = InstanceListModel.create(Number(this.lag), SystemClock.create())
    await serve('instance-list', createInstanceListServer(model), this.host, this.listenPort())
  }
}
