/**
 * Calls the control port of one entry instance. Whatever goes wrong comes back
 * as a failure with its verdict: a publication whose answer was lost may have
 * been written.
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

/** An instance that is there answers a question within this, milliseconds. */
const ANSWER_TIMEOUT_MS = 5000

/** Added to the wait of a call for the way there and back, milliseconds. */
const WAIT_MARGIN_MS = 2000

type Result<Value> = Promise<Either<Failure, Value>>

export class ControlClient {
  private constructor (readonly address: string, private readonly calls: TRPCClient<ControlRouter>) {}

  /** @param address IP number and port of the control port. */
  static create (address: string, token: string): ControlClient {
    const link = httpLink({ url: `http://${address}${CONTROL_PATH}`, headers: { authorization: `Bearer ${token}` } })
    return new ControlClient(address, createTRPCClient<ControlRouter>({ links: [link] }))
  }

  async configuration (): Result<ConfigurationView> {
    return await this.ask(async options => await this.calls.configuration.query(undefined, options))
  }

  async publish (base: number, changes: readonly Change[], waitMs: number): Result<Publication> {
    return await this.ask(async options => await this.calls.publish.mutate({ base, changes: [...changes], waitMs }, options), waitMs + WAIT_MARGIN_MS)
  }

  async waitInForce (revision: number, waitMs: number): Result<InForce> {
    return await this.ask(async options => await this.calls.waitInForce.query({ revision, waitMs }, options), waitMs + WAIT_MARGIN_MS)
  }

  async members (): Result<readonly MemberView[]> {
    return await this.ask(async options => await this.calls.members.query(undefined, options))
  }

  async servers (): Result<readonly ServerView[]> {
    return await this.ask(async options => await this.calls.servers.query(undefined, options))
  }

  async accounts (): Result<readonly AccountView[]> {
    return await this.ask(async options => await this.calls.accounts.query(undefined, options))
  }

  async figures (account?: string): Result<Figures> {
    return await this.ask(async options => await this.calls.figures.query({ account }, options))
  }

  async giveOrder (order: ServerOrder): Result<OrderProgress> {
    return await this.ask(async options => await this.calls.giveOrder.mutate(order, options))
  }

  async orders (): Result<readonly OrderProgress[]> {
    return await this.ask(async options => await this.calls.orders.query(undefined, options))
  }

  async dump (): Result<Dump> {
    return await this.ask(async options => await this.calls.dump.query(undefined, options))
  }

  async explain (requestId: string): Result<Explanation> {
    return await this.ask(async options => await this.calls.explain.query({ requestId }, options))
  }

  private async ask<Value> (call: (options: { readonly signal: AbortSignal }) => Promise<Value>, timeoutMs = ANSWER_TIMEOUT_MS): Result<Value> {
    return await EitherAsync(async () => await call({ signal: AbortSignal.timeout(timeoutMs) }))
      .mapLeft(error => toFailure(error, this.address))
  }
}

/** Codes of a connection that was never made, so that no byte left. */
const neverConnected: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

function toFailure (error: unknown, address: string): Failure {
  const shape = error instanceof TRPCClientError ? (error.data as { readonly failure?: FailureShape } | undefined)?.failure : undefined
  if (shape) {
    return Failure.create(shape.code, shape.verdict, shape.message, shape.retryAt)
  }
  if (neverConnected.has(codeOf(error))) {
    return Failure.notRun(FailureCode.ConnectionRefused, `Nothing answers at ${address}.`)
  }
  return Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, `${address} did not answer in time or not as a control port does.`)
}

/** The system's code of a network error, however deep the libraries wrap it. */
function codeOf (error: unknown): unknown {
  const { code, cause } = (error ?? {}) as { readonly code?: unknown, readonly cause?: unknown }
  return code === undefined && cause !== undefined ? codeOf(cause) : code
}
