import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { LogModel } from '../platform/logModel.js'
import { createLogServer } from '../platform/logServer.js'
import { serve } from './serve.js'
import { StandinCommand } from './standinCommand.js'

export class LogCommand extends StandinCommand {
  static override paths = [['log']]
  static override usage = Command.Usage({ description: 'Serve the platform\'s append-only log.' })

  retention = Option.String('--retention-ms', '86400000', { description: 'How long records are kept, milliseconds.' })
  rate = Option.String('--appends-per-second', '300', { description: 'Appends a second before it refuses.' })

  async execute (): Promise<void> {
    const clock = SystemClock.create()
    const model = LogModel.create({ retentionMs: Number(this.retention), appendsPerSecond: Number(this.rate) }, clock)
    await serve('log', createLogServer(model, clock), this.host, this.listenPort())
  }
}
