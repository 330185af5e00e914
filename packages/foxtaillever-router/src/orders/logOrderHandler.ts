/**
 * Writes operators' orders to the log and reports their progress. The instance
 * that holds the lease carries them out; other instances only know what is in
 * the log and what they observe at backend servers.
 */
import { randomUUID } from 'node:crypto'
import { EngineRole, Failure, FailureCode, OrderKind as EngineOrderKind, RecordKind, waitUntil, type Clock, type EngineOrder, type Log } from 'foxtaillever-core'
import { OrderKind, OrderState, type OrderProgress, type ServerOrder } from 'foxtaillever-control'
import { isLoad, FulfilmentState, type OrderRecord, type OrderSystem, type DesiredOrder, type DesiredOrders } from 'foxtaillever-fleet'
import { Left, Right, type Either } from 'purify-ts'
import type { OrderHandler } from '../control/instanceControl.js'

/** How long an order is waited for in the log, milliseconds; one that is not seen by then may still be carried out. */
const READ_BACK_MS = 5000

const POLL_INTERVAL_MS = 50

type Translation = (id: string, order: ServerOrder) => EngineOrder

const translations: Record<OrderKind, Translation> = {
  [OrderKind.LoadWeights]: (id, { model, value }) => ({ id, kind: EngineOrderKind.LoadModel, model, weightsVersion: value }),
  [OrderKind.SetVersion]: (id, { model, value }) => ({ id, kind: EngineOrderKind.LoadVersion, model, weightsVersion: value }),
  [OrderKind.LoadAdapter]: (id, { model, value }) => ({ id, kind: EngineOrderKind.LoadAdapter, model, adapter: value }),
  [OrderKind.SetRole]: (id, { value }) => ({ id, kind: EngineOrderKind.ChangeRole, role: value as EngineRole })
}

/** Maps kinds of orders in the log to those that operators see. */
const kinds: Record<EngineOrderKind, OrderKind> = {
  [EngineOrderKind.LoadModel]: OrderKind.LoadWeights,
  [EngineOrderKind.LoadVersion]: OrderKind.SetVersion,
  [EngineOrderKind.LoadAdapter]: OrderKind.LoadAdapter,
  [EngineOrderKind.ChangeRole]: OrderKind.SetRole
}

const states: Record<FulfilmentState, OrderState> = {
  [FulfilmentState.Waiting]: OrderState.Waiting,
  [FulfilmentState.Sent]: OrderState.Sent,
  [FulfilmentState.Done]: OrderState.Done,
  [FulfilmentState.Failed]: OrderState.Failed
}

export interface LogOrderHandlerOptions {
  readonly log: Log
  readonly clock: Clock
  readonly wants: DesiredOrders
  readonly system: OrderSystem
}

export class LogOrderHandler implements OrderHandler {
  private constructor (private readonly options: LogOrderHandlerOptions) {}

  static create (options: LogOrderHandlerOptions): LogOrderHandler {
    return new LogOrderHandler(options)
  }

  async submit (order: ServerOrder, author: string): Promise<Either<Failure, OrderProgress>> {
    const { log, clock } = this.options
    if (order.kind === OrderKind.SetRole && !Object.values(EngineRole).includes(order.value as EngineRole)) {
      return Left(Failure.notRun(FailureCode.BadRequest, `A role is one of ${Object.values(EngineRole).join(', ')}.`))
    }
    const id = randomUUID()
    const body: OrderRecord = { server: order.server, author, order: translations[order.kind](id, order) }
    const appended = await log.append({ id, kind: RecordKind.Order, writtenAt: clock.now(), body })
    this.options.system.watch()
    const want = await this.readBack(id)
    if (want) {
      return Right(this.progressOf(want))
    }
    // The append succeeded or its answer was lost, but the order was not found in the log in time.
    const failure = Failure.notRun(FailureCode.LogUnavailable, 'The order was not seen in the log; ask for the list of orders before giving it again.')
    return Left(appended.swap().orDefault(failure))
  }

  private async readBack (id: string): Promise<DesiredOrder | undefined> {
    const { clock, wants } = this.options
    const deadline = clock.now() + READ_BACK_MS
    while (clock.now() < deadline) {
      const want = wants.all().find(({ order }) => order.id === id)
      if (want) {
        return want
      }
      await waitUntil(clock, clock.now() + POLL_INTERVAL_MS)
    }
    return undefined
  }

  list (): readonly OrderProgress[] {
    this.options.system.watch()
    return this.options.wants.all().map(want => this.progressOf(want))
  }

  private progressOf (want: DesiredOrder): OrderProgress {
    const { system } = this.options
    const { order, server } = want
    return {
      id: order.id,
      order: { kind: kinds[order.kind], server, model: 'model' in order ? order.model : '', value: valueOf(order) },
      state: states[system.stateOf(want)],
      changedAt: system.changedAt(want),
      message: system.refusalOf(want)?.message ?? (isLoad(order) ? 'At most two loads run at once.' : '')
    }
  }
}

type Values = { [Kind in EngineOrderKind]: (order: Extract<EngineOrder, { kind: Kind }>) => string }

const values: Values = {
  [EngineOrderKind.LoadModel]: order => order.weightsVersion,
  [EngineOrderKind.LoadVersion]: order => order.weightsVersion,
  [EngineOrderKind.LoadAdapter]: order => order.adapter,
  [EngineOrderKind.ChangeRole]: order => order.role
}

function valueOf (order: EngineOrder): string {
  return (values[order.kind] as (order: EngineOrder) => string)(order)
}
