import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { LogModel } from '../platform/logModel.js'
import { createLogServer } from '../platform/logServer.js'
import { StandinCommand } from './standinCommand.js'

export class LogCommand extends StandinCommand {
  static override paths = [['log']]
  static override usage = Command.Usage({
    description: 'Serve the platform\'s append-only log.',
    details: 'Faults are switched at run time: POST /faults with outage, slownessMs and lostAnswers.'
  })

  retention = Option.String('--retention-ms', '86400000', { description: 'How long records are kept, milliseconds.' })
  rate = Option.String('--appends-per-second', '300', { description: 'Appends a second before it refuses.' })

  async execute (): Promise<void> {
    const clock = SystemClock.create()
    const retentionMs = this.parseNumber('--retention-ms', this.retention, 1)
    const appendsPerSecond = this.parseNumber('--appends-per-second', this.rate, 1)
    const model = LogModel.create({ retentionMs, appendsPerSecond }, clock)
    await this.serve('log', createLogServer(model, clock))
  }
}
