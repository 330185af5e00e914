/**
 * Finds the backend server for the next try of an exchange: asks for load where
 * that helps, places the request, and counts it in the rate that the server
 * stated. A server without room is left out, and the next best is taken.
 */
import { FailureCode } from 'foxtaillever-core'
import { LimitAdmission } from '../limits/serverLimits.js'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AskedServers } from '../servers/serverChoice.js'
import { afterwards } from './afterwards.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { TryLedger } from './tryLedger.js'

export interface TryPlacementOptions {
  readonly context: ExchangeContext
  readonly exchange: Exchange
  readonly ledger: TryLedger
  /** The exchange ended meanwhile. */
  readonly isOver: () => boolean
  readonly onPlaced: (server: KnownServer) => void
  /** @param retryAt when the caller may come back, milliseconds of Unix time; undefined where the code says it. */
  readonly onFailed: (code: FailureCode, message: string, retryAt?: number) => void
}

export class TryPlacement {
  /** The server in whose stated rate the present try counts. */
  private countedAt: KnownServer | undefined

  private constructor (private readonly options: TryPlacementOptions) {}

  static create (options: TryPlacementOptions): TryPlacement {
    return new TryPlacement(options)
  }

  next (): void {
    const { context, exchange, ledger, isOver } = this.options
    afterwards(context.askLoad(exchange, ledger), asked => {
      if (!isOver()) {
        this.place(asked)
      }
    })
  }

  /** The try did not reach its server. */
  giveBack (): void {
    const server = this.countedAt
    this.countedAt = undefined
    if (server) {
      this.options.context.limits.giveBack(server)
    }
  }

  private place (asked: AskedServers | undefined): void {
    const { context, exchange, ledger } = this.options
    const server = context.place(exchange, ledger, asked)
    if (server) {
      context.limits.admit(server, exchange, admission => this.onAdmission(server, admission, asked))
      return
    }
    const returnAt = context.returnAt(exchange.service)
    if (returnAt === undefined) {
      this.fail(FailureCode.NoBackendServer, 'No backend server can take the request now.')
    } else {
      this.fail(FailureCode.Overloaded, 'All backend servers rest or are at the limits that they stated.', returnAt)
    }
  }

  private onAdmission (server: KnownServer, admission: LimitAdmission, asked: AskedServers | undefined): void {
    const { context, exchange, ledger, isOver, onPlaced } = this.options
    this.countedAt = admission === LimitAdmission.Counted ? server : undefined
    if (isOver()) {
      this.giveBack()
    } else if (admission === LimitAdmission.Refused) {
      this.place(asked)
    } else if (ledger.arrivals > 0 && !context.retries.tryRetry(exchange.service, context.clock.now())) {
      this.giveBack()
      this.fail(FailureCode.Overloaded, 'The retry budget is used up.')
    } else {
      onPlaced(server)
    }
  }

  /** What an earlier try came to says more than that there is no other. */
  private fail (code: FailureCode, message: string, retryAt?: number): void {
    this.options.onFailed(this.options.ledger.ranCode ?? code, message, retryAt)
  }
}
