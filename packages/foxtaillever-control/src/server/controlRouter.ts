/**
 * Serves an instance's control as tRPC procedures. Every procedure requires an
 * operator's token, and every error carries a verdict.
 */
import { initTRPC } from '@trpc/server'
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { isApplicable, type Change } from 'foxtaillever-fleet'
import { z } from 'zod'
import type { Control } from '../protocol/control.js'
import { OrderKind } from '../protocol/orders.js'
import { createControlError, orThrow, toFailureShape } from './controlFailure.js'
import type { Operators } from './operators.js'

export interface ControlContext {
  readonly control: Control
  readonly clock: Clock
  /** Empty when the token is unknown. */
  readonly operator: string
}

/** Longest time that a call may wait for the log or for other instances, milliseconds. */
export const MAX_WAIT_MS = 60_000

/** Bounds the size of one record; more than a configuration file of the size expected in two years needs. */
const MAX_CHANGES = 10_000

const publication = z.object({
  base: z.number().int().min(0),
  changes: z.array(z.custom<Change>(change => isApplicable(change as Change))).min(1).max(MAX_CHANGES),
  /** Counted from arrival, since the clocks of operators and instances differ. */
  waitMs: z.number().int().min(1).max(MAX_WAIT_MS)
})

const wait = z.object({
  revision: z.number().int().min(0),
  waitMs: z.number().int().min(1).max(MAX_WAIT_MS)
})

const serverOrder = z.object({
  kind: z.nativeEnum(OrderKind),
  server: z.string().min(1),
  model: z.string(),
  value: z.string().min(1)
})

const t = initTRPC.context<ControlContext>().create({
  isDev: false,
  errorFormatter: ({ shape, error }) => ({ ...shape, data: { ...shape.data, failure: toFailureShape(error) } })
})

const procedure = t.procedure.use(async ({ ctx, next }) => {
  if (ctx.operator === '') {
    throw createControlError(Failure.notRun(FailureCode.Unauthenticated, 'This instance does not know the token.'))
  }
  return await next()
})

/** The procedures of the control port. */
export const controlRouter = t.router({
  configuration: procedure.query(({ ctx }) => orThrow(ctx.control.configuration())),
  publish: procedure.input(publication).mutation(async ({ ctx, input: { base, changes, waitMs } }) =>
    orThrow(await ctx.control.publish({ base, changes, author: ctx.operator, deadline: ctx.clock.now() + waitMs }))),
  waitInForce: procedure.input(wait).query(async ({ ctx, input: { revision, waitMs } }) => await ctx.control.waitInForce(revision, ctx.clock.now() + waitMs)),
  members: procedure.query(({ ctx }) => ctx.control.members()),
  servers: procedure.query(({ ctx }) => ctx.control.servers()),
  accounts: procedure.query(({ ctx }) => ctx.control.accounts()),
  figures: procedure.input(z.object({ account: z.string().optional() })).query(async ({ ctx, input }) => orThrow(await ctx.control.figures(input.account))),
  giveOrder: procedure.input(serverOrder).mutation(async ({ ctx, input }) => orThrow(await ctx.control.giveOrder(input, ctx.operator))),
  orders: procedure.query(({ ctx }) => ctx.control.orders()),
  dump: procedure.query(({ ctx }) => ctx.control.dump()),
  explain: procedure.input(z.object({ requestId: z.string().min(1).max(256) })).query(({ ctx, input }) => orThrow(ctx.control.explain(input.requestId)))
})

/** Path below which the procedures are mounted on the control port. */
export const CONTROL_PATH = '/control'

export type ControlRouter = typeof controlRouter

/** The context of one call, from its Authorization header. */
export function createControlContext (control: Control, clock: Clock, operators: Operators, authorization: string | undefined): ControlContext {
  return { control, clock, operator: operators.authenticate(authorization) }
}
