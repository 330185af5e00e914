import { Command } from 'clipanion'
import type { ExitCode } from '../exitCode.js'
import { formatTable } from '../format/formatTable.js'
import { formatInstant } from '../format/formatValues.js'
import { OperatorCommand } from '../operatorCommand.js'

export class OrdersCommand extends OperatorCommand {
  static override paths = [['orders']]
  static override usage = Command.Usage({ category: 'Backend servers', description: 'List orders to backend servers and how far they are.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => {
      const orders = await connection.call(async client => await client.orders())
      return orders.map(list => this.print(list, () => formatTable(
        ['order', 'kind', 'server', 'value', 'state', 'since', 'message'],
        list.map(({ id, order, state, changedAt, message }) => [id, order.kind, order.server, order.value, state, formatInstant(changedAt), message])
      )))
    })
  }
}
