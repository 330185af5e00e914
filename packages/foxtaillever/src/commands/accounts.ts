import { Command } from 'clipanion'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { OperatorCommand } from '../operatorCommand.js'

export class AccountsCommand extends OperatorCommand {
  static override paths = [['accounts']]
  static override usage = Command.Usage({ category: 'State', description: 'List the client accounts as one instance serves them.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const views = await connection.call(async client => await client.accounts())
      return views.map(accounts => this.print(accounts, () => formatTable(
        ['account', 'class', 'weight', 'waiting', 'running', 'tokens/s limit', 'requests limit'],
        accounts.map(account => [
          account.name, account.priority, String(account.weight), String(account.waiting), String(account.running),
          String(account.tokensPerSecondLimit), String(account.concurrentRequestsLimit)
        ])
      )))
    })
  }
}
