import { Command } from 'clipanion'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { formatShare } from '../format/formatValues.js'
import { OperatorCommand } from '../operatorCommand.js'

export class ServersCommand extends OperatorCommand {
  static override paths = [['servers']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'List the backend servers as one instance sees them.',
    details: 'The share is how much of its usual work a backend server gets: less than 100 % while it is slow, cold or suspect.'
  })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const views = await connection.call(async client => await client.servers())
      return views.map(servers => this.print(servers, () => formatTable(
        ['server', 'kind', 'failure domain', 'state', 'ready', 'running', 'slots', 'share'],
        servers.map(server => [
          server.name, server.kind, server.failureDomain, server.state, server.ready ? 'yes' : `no: ${server.reason}`,
          String(server.running), String(server.slots), formatShare(server.share)
        ])
      )))
    })
  }
}
