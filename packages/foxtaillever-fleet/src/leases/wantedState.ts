/**
 * What operators want backend servers to have loaded, folded from the log. An
 * order is a wanted state and not an act: it is observed, and given again until
 * it holds, so that a late duplicate or a restarted engine is put right.
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

export interface Want extends OrderRecord {
  /** Log offset; later wants of the same part replace earlier ones. */
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

/** Orders of the same part of an engine exclude each other. */
const parts: Record<OrderKind, (order: EngineOrder) => string> = {
  [OrderKind.LoadModel]: () => 'weights',
  [OrderKind.LoadVersion]: () => 'weights',
  [OrderKind.LoadAdapter]: order => `adapter ${(order as { adapter: string }).adapter}`,
  [OrderKind.ChangeRole]: () => 'role'
}

type Tests = { [Kind in OrderKind]: (state: EngineState, order: Extract<EngineOrder, { kind: Kind }>) => boolean }

const tests: Tests = {
  [OrderKind.LoadModel]: (state, order) => state.models.includes(order.model) && state.weightsVersion === order.weightsVersion,
  [OrderKind.LoadVersion]: (state, order) => state.weightsVersion === order.weightsVersion,
  [OrderKind.LoadAdapter]: (state, order) => state.adapters.includes(order.adapter),
  [OrderKind.ChangeRole]: (state, order) => state.role === order.role
}

/** Whether an engine is seen in the state that an order wants. */
export function isObserved (state: EngineState, order: EngineOrder): boolean {
  const test = tests[order.kind] as (state: EngineState, order: EngineOrder) => boolean
  return test(state, order)
}

/** Orders that take from the rate-limited weight store. */
export function isLoad ({ kind }: EngineOrder): boolean {
  return kind === OrderKind.LoadModel || kind === OrderKind.LoadVersion
}

export class WantFold {
  private readonly wants = new Map<string, Want>()

  private constructor () {}

  static create (): WantFold {
    return new WantFold()
  }

  /** Folds the next record; the later of two racing orders counts everywhere. */
  readonly read = (record: LogRecord): void => {
    if (record.kind !== RecordKind.Order) {
      return
    }
    Maybe.fromNullable(orderRecord.safeParse(record.body).data).ifJust(body => {
      const key = `${body.server} ${parts[body.order.kind](body.order)}`
      // Set anew, so that wants stand in the order of the log.
      this.wants.delete(key)
      this.wants.set(key, { ...body, offset: record.offset })
    })
  }

  all (): readonly Want[] {
    return [...this.wants.values()]
  }
}
