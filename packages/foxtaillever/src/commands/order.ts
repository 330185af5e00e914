import { Command, Option } from 'clipanion'
import { FailureCode, Failure } from 'foxtaillever-core'
import { OrderKind, OrderState, type OrderProgress, type ServerOrder } from 'foxtaillever-control'
import { Left, Right, type Either } from 'purify-ts'
import type { Connection } from '../connection/connection.js'
import { ExitCode } from '../exitCode.js'
import { OperatorCommand } from '../operatorCommand.js'
import { confirm } from '../publish/confirm.js'

/** Interval between two polls of the progress, milliseconds. */
const POLL_INTERVAL_MS = 250

/** Longest wait for an order, milliseconds. Weights load in under a second, at most two loads at once in the fleet. */
const MAX_WAIT_MS = 120_000

const finalStates: ReadonlySet<OrderState> = new Set([OrderState.Done, OrderState.Failed])

export class OrderCommand extends OperatorCommand {
  static override paths = [['order']]
  static override usage = Command.Usage({
    category: 'Backend servers',
    description: 'Order a backend server to load weights, an adapter, a version, or to change its role.',
    details: `The kind is one of ${Object.values(OrderKind).join(', ')}. An order names a wanted state, which is observed and corrected until it holds.`,
    examples: [['Load new weights and watch', 'foxtaillever order load-weights order-language-3 2026-12 --model pig-feed-orders --wait']]
  })

  kind = Option.String({ name: 'kind' })
  server = Option.String({ name: 'server' })
  value = Option.String({ name: 'value' })
  model = Option.String('--model', '', { description: 'The model that the order is about.' })
  yes = Option.Boolean('--yes', false, { description: 'Do not ask.' })
  wait = Option.Boolean('--wait', false, { description: 'Show the progress until it is done.' })

  async execute (): Promise<ExitCode> {
    return await this.withConnection(async connection => await this.parseOrder().caseOf({
      Left: async failure => Left(failure),
      Right: async order => await this.sendOrder(connection, order)
    }))
  }

  private parseOrder (): Either<Failure, ServerOrder> {
    const kind = Object.values(OrderKind).find(known => known === this.kind)
    return kind
      ? Right({ kind, server: this.server, model: this.model, value: this.value })
      : Left(Failure.notRun(FailureCode.BadRequest, `There is no order "${this.kind}": give one of ${Object.values(OrderKind).join(', ')}.`))
  }

  private async sendOrder (connection: Connection, order: ServerOrder): Promise<Either<Failure, ExitCode>> {
    if (!this.yes && !await confirm(this.context, `${order.server} serves less while it carries out the order.`)) {
      return Right(ExitCode.NotConfirmed)
    }
    const given = await connection.call(async client => await client.giveOrder(order))
    return await given.caseOf({
      Left: async failure => Left(failure),
      Right: async progress => this.wait ? await this.watchProgress(connection, progress) : Right(this.printProgress(progress))
    })
  }

  private async watchProgress (connection: Connection, given: OrderProgress): Promise<Either<Failure, ExitCode>> {
    let progress = given
    const deadline = Date.now() + MAX_WAIT_MS
    while (!finalStates.has(progress.state) && Date.now() < deadline) {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
      const orders = await connection.call(async client => await client.orders())
      const next = orders.toMaybe().chainNullable(list => list.find(({ id }) => id === given.id)).orDefault(progress)
      if (next.state !== progress.state && !this.json) {
        this.printProgress(next)
      }
      progress = next
    }
    if (this.json) {
      this.printProgress(progress)
    }
    return Right(progress.state === OrderState.Done ? ExitCode.Done : ExitCode.Unknown)
  }

  private printProgress (progress: OrderProgress): ExitCode {
    const { id, order, state, message } = progress
    this.print(progress, () => `order ${id}: ${order.kind} ${order.value} at ${order.server}: ${state}. ${message}\n`)
    return state === OrderState.Failed ? ExitCode.Refused : ExitCode.Done
  }
}
