import { Command } from 'clipanion'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { formatInstant } from '../format/formatValues.js'
import { OperatorCommand } from '../operatorCommand.js'

export class MembersCommand extends OperatorCommand {
  static override paths = [['members']]
  static override usage = Command.Usage({ category: 'State', description: 'List the entry instances as one of them knows them.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const views = await connection.call(async client => await client.members())
      return views.map(members => this.print(members, () => formatTable(
        ['instance', 'failure domain', 'state', 'revision', 'control address', 'last heard'],
        members.map(member => [member.name, member.failureDomain, member.state, String(member.revision), member.controlAddress, formatInstant(member.heardAt)])
      )))
    })
  }
}
