/**
 * Calls the control port of one entry instance. Every error is returned as a
 * failure with its verdict: a publication whose answer was lost may have been
 * written.
 */
import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import type { Change, InForce, Publication } from 'foxtaillever-fleet'
import { EitherAsync, type Either } from 'purify-ts'
import type { Figures } from '../protocol/figures.js'
import type { OrderProgress, ServerOrder } from '../protocol/orders.js'
import type { AccountView, ConfigurationView, Dump, Explanation, MemberView, ServerView } from '../protocol/views.js'
import type { FailureShape } from '../server/controlFailure.js'
import { CONTROL_PATH, type ControlRouter } from '../server/controlRouter.js'

/** A running instance answers a query within this time, milliseconds. */
const ANSWER_TIMEOUT_MS = 5000

/** Added to the wait time of a call for the network round trip, milliseconds. */
const WAIT_MARGIN_MS = 2000

type Result<Value> = Promise<Either<Failure, Value>>

export class ControlClient {
  private constructor (readonly address: string, private readonly procedures: TRPCClient<ControlRouter>) {}

  /** @param address IP address and port of the control port. */
  static create (address: string, token: string): ControlClient {
    const link = httpLink({ url: `http://${address}${CONTROL_PATH}`, headers: { authorization: `Bearer ${token}` } })
    return new ControlClient(address, createTRPCClient<ControlRouter>({ links: [link] }))
  }

  async configuration (): Result<ConfigurationView> {
    return await this.callInstance(async options => await this.procedures.configuration.query(undefined, options))
  }

  async publish (base: number, changes: readonly Change[], waitMs: number): Result<Publication> {
    return await this.callInstance(async options => await this.procedures.publish.mutate({ base, changes: [...changes], waitMs }, options), waitMs + WAIT_MARGIN_MS)
  }

  async waitInForce (revision: number, waitMs: number): Result<InForce> {
    return await this.callInstance(async options => await this.procedures.waitInForce.query({ revision, waitMs }, options), waitMs + WAIT_MARGIN_MS)
  }

  async members (): Result<readonly MemberView[]> {
    return await this.callInstance(async options => await this.procedures.members.query(undefined, options))
  }

  async servers (): Result<readonly ServerView[]> {
    return await this.callInstance(async options => await this.procedures.servers.query(undefined, options))
  }

  async accounts (): Result<readonly AccountView[]> {
    return await this.callInstance(async options => await this.procedures.accounts.query(undefined, options))
  }

  async figures (account?: string): Result<Figures> {
    return await this.callInstance(async options => await this.procedures.figures.query({ account }, options))
  }

  async giveOrder (order: ServerOrder): Result<OrderProgress> {
    return await this.callInstance(async options => await this.procedures.giveOrder.mutate(order, options))
  }

  async orders (): Result<readonly OrderProgress[]> {
    return await this.callInstance(async options => await this.procedures.orders.query(undefined, options))
  }

  async dump (): Result<Dump> {
    return await this.callInstance(async options => await this.procedures.dump.query(undefined, options))
  }

  async explain (requestId: string): Result<Explanation> {
    return await this.callInstance(async options => await this.procedures.explain.query({ requestId }, options))
  }

  private async callInstance<Value> (call: (options: { readonly signal: AbortSignal }) => Promise<Value>, timeoutMs = ANSWER_TIMEOUT_MS): Result<Value> {
    return await EitherAsync(async () => await call({ signal: AbortSignal.timeout(timeoutMs) }))
      .mapLeft(error => toFailure(error, this.address))
  }
}

/** Error codes of a connection that was never established, so that no byte was sent. */
const connectFailureCodes: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

function toFailure (error: unknown, address: string): Failure {
  const shape = error instanceof TRPCClientError ? (error.data as { readonly failure?: FailureShape } | undefined)?.failure : undefined
  if (shape) {
    return Failure.create(shape.code, shape.verdict, shape.message, shape.retryAt)
  }
  if (connectFailureCodes.has(findErrorCode(error))) {
    return Failure.notRun(FailureCode.ConnectionRefused, `Nothing answers at ${address}.`)
  }
  return Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, `${address} did not answer in time or not as a control port does.`)
}

/** Finds the code of a network error that libraries may have wrapped several times. */
function findErrorCode (error: unknown): unknown {
  const { code, cause } = (error ?? {}) as { readonly code?: unknown, readonly cause?: unknown }
  return code === undefined && cause !== undefined ? findErrorCode(cause) : code
}
