/**
 * What operators want backend servers to have loaded, folded from the log. An
 * order describes a desired state: it is sent again until the server is seen in
 * that state, so that a late duplicate or a restarted engine is corrected.
 */
import { EngineRole, OrderKind, RecordKind, type EngineOrder, type EngineState, type LogRecord } from 'foxtaillever-core'
import { Maybe } from 'purify-ts'
import { z } from 'zod'

/** Body of an order record. */
export interface OrderRecord {
  readonly server: string
  readonly author: string
  readonly order: EngineOrder
}

export interface DesiredOrder extends OrderRecord {
  /** Log offset; a later order for the same part replaces an earlier one. */
  readonly offset: number
}

const base = { id: z.string(), model: z.string() }

const orderRecord = z.object({
  server: z.string(),
  author: z.string(),
  order: z.discriminatedUnion('kind', [
    z.object({ ...base, kind: z.literal(OrderKind.LoadModel), weightsVersion: z.string() }),
    z.object({ ...base, kind: z.literal(OrderKind.LoadVersion), weightsVersion: z.string() }),
    z.object({ ...base, kind: z.literal(OrderKind.LoadAdapter), adapter: z.string() }),
    z.object({ id: z.string(), kind: z.literal(OrderKind.ChangeRole), role: z.nativeEnum(EngineRole) })
  ])
})

/** The part of an engine that an order changes; a later order for the same part replaces an earlier one. */
const partOf: Record<OrderKind, (order: EngineOrder) => string> = {
  [OrderKind.LoadModel]: () => 'weights',
  [OrderKind.LoadVersion]: () => 'weights',
  [OrderKind.LoadAdapter]: order => `adapter ${(order as { adapter: string }).adapter}`,
  [OrderKind.ChangeRole]: () => 'role'
}

type FulfilmentChecks = { [Kind in OrderKind]: (state: EngineState, order: Extract<EngineOrder, { kind: Kind }>) => boolean }

const fulfilmentChecks: FulfilmentChecks = {
  [OrderKind.LoadModel]: (state, order) => state.models.includes(order.model) && state.weightsVersion === order.weightsVersion,
  [OrderKind.LoadVersion]: (state, order) => state.weightsVersion === order.weightsVersion,
  [OrderKind.LoadAdapter]: (state, order) => state.adapters.includes(order.adapter),
  [OrderKind.ChangeRole]: (state, order) => state.role === order.role
}

/** Whether an engine's state is the one that the order describes. */
export function isFulfilled (state: EngineState, order: EngineOrder): boolean {
  const check = fulfilmentChecks[order.kind] as (state: EngineState, order: EngineOrder) => boolean
  return check(state, order)
}

/** Whether the order loads from the rate-limited weight store. */
export function isLoad ({ kind }: EngineOrder): boolean {
  return kind === OrderKind.LoadModel || kind === OrderKind.LoadVersion
}

export class DesiredOrders {
  private readonly byPart = new Map<string, DesiredOrder>()

  private constructor () {}

  static create (): DesiredOrders {
    return new DesiredOrders()
  }

  /** Folds the next record; of two racing orders the later one counts on every instance. */
  readonly applyRecord = (record: LogRecord): void => {
    if (record.kind !== RecordKind.Order) {
      return
    }
    Maybe.fromNullable(orderRecord.safeParse(record.body).data).ifJust(body => {
      const key = `${body.server} ${partOf[body.order.kind](body.order)}`
      // Deleted first, so that the map keeps orders in the order of the log.
      this.byPart.delete(key)
      this.byPart.set(key, { ...body, offset: record.offset })
    })
  }

  all (): readonly DesiredOrder[] {
    return [...this.byPart.values()]
  }
}
