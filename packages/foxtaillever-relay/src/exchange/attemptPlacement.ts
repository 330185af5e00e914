/**
 * Finds the backend server for the next attempt of an exchange: queries the load
 * where that helps, chooses a server, and counts the attempt against the rate
 * limit that the server stated. A server at its limit is skipped for the next
 * best one. Where the route asks for it, the attempt then waits for admission at the
 * server; while it waits, the server is chosen again. If none can be chosen because its
 * server takes no requests for a moment, the attempt stays in the queue and is counted
 * against the limit when it is admitted. It leaves a queue for another one only once it
 * has a place there.
 */
import { FailureCode } from 'foxtaillever-core'
import type { StepGuard } from '../attempts/stepGuard.js'
import { RequestAdmission } from '../admission/requestAdmission.js'
import { LimitAdmission } from '../limits/serverLimits.js'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import { opensAt } from '../servers/serverAvailability.js'
import type { QueriedServers } from '../servers/serverSelector.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { ExchangeContext } from './exchangeContext.js'
import { callWhenDone } from './callWhenDone.js'

export interface AttemptPlacementOptions {
  readonly context: ExchangeContext
  readonly exchange: Exchange
  readonly ledger: AttemptLedger
  readonly steps: StepGuard
  /** Whether the exchange still waits for a server. */
  readonly isNeeded: () => boolean
  /** @param isAdmitted by the owner of the server's queue, which has counted what waits there. */
  readonly onPlaced: (server: KnownServer, isAdmitted: boolean) => void
  /** @param retryAt when the caller may retry, milliseconds of Unix time; undefined where the code determines it. */
  readonly onFailed: (code: FailureCode, message: string, retryAt?: number) => void
}

export class AttemptPlacement {
  /** The server whose rate limit allows the current attempt. */
  private allowedServer: KnownServer | undefined
  /** The server against whose rate limit the current attempt counts. */
  private countedServer: KnownServer | undefined
  private readonly admission: RequestAdmission

  private constructor (private readonly options: AttemptPlacementOptions) {
    const { context: { admission, clock, log }, exchange, steps } = options
    this.admission = RequestAdmission.create({
      admission,
      clock,
      log,
      exchange,
      onAdmitted: steps.wrap((server, isAdmitted) => this.checkLimit(server, isAdmitted)),
      onRejected: steps.wrap(retryAt => {
        this.refundLimit()
        this.fail(FailureCode.Overloaded, 'No backend server has room before the deadline.', retryAt)
      }),
      onQueued: steps.wrap(() => {
        this.refundLimit()
        this.placeNext()
      }),
      onMoveRejected: steps.wrap(() => this.refundLimit())
    })
  }

  static create (options: AttemptPlacementOptions): AttemptPlacement {
    return new AttemptPlacement(options)
  }

  placeNext (): void {
    const { context, exchange, ledger, isNeeded, steps } = this.options
    callWhenDone(context.queryLoad(exchange, ledger), steps.wrap(queriedServers => {
      if (isNeeded()) {
        this.selectServer(queriedServers)
      }
    }))
  }

  /** Stops waiting, because no server is needed any more. */
  stop (): void {
    if (this.admission.isWaiting) {
      this.refundLimit()
      this.admission.cancel()
    }
  }

  /** No path leads to the server that was chosen. */
  failUnreached (): void {
    this.fail(FailureCode.NoBackendServer, 'No backend server is within reach of this instance, and no other instance can carry the request.')
  }

  /** Stops counting an attempt that did not reach its server: refunds its limit and returns its admission, unless a later attempt was counted since. */
  releaseLimit (server: KnownServer): void {
    if (this.countedServer === server) {
      this.refundLimit()
    }
    this.admission.returnAdmission(server)
  }

  private refundLimit (): void {
    const server = this.countedServer
    this.countedServer = undefined
    this.allowedServer = undefined
    if (server) {
      this.options.context.limits.refund(server)
    }
  }

  private selectServer (queriedServers: QueriedServers | undefined): void {
    const { context, exchange, ledger } = this.options
    const server = context.selectServer(exchange, ledger, queriedServers)
    if ((!server || this.admission.wasRejectedBy(server)) && this.mayStay()) {
      this.admission.renew()
      return
    }
    if (server) {
      context.limits.admit(server, exchange, this.options.steps.wrap(admission => this.onAdmission(server, admission, queriedServers)))
      return
    }
    this.admission.cancel()
    const earliestRetryAt = context.earliestRetryAt(exchange.service, ledger.softwareVersion)
    if (earliestRetryAt === undefined) {
      this.fail(FailureCode.NoBackendServer, ledger.softwareVersion === undefined ? 'No backend server can take the request now.' : 'No backend server of the software version that began the stream can take it now.')
    } else {
      this.fail(FailureCode.Overloaded, 'All backend servers rest or are at the limits that they stated.', earliestRetryAt)
    }
  }

  private onAdmission (server: KnownServer, admission: LimitAdmission, queriedServers: QueriedServers | undefined): void {
    const { ledger, isNeeded } = this.options
    // The retry was counted before the attempt was queued.
    const isRetry = ledger.arrivals > 0 && !this.admission.isWaiting
    this.recordLimit(server, admission)
    if (!isNeeded()) {
      this.refundLimit()
    } else if (admission === LimitAdmission.Refused) {
      this.selectServer(queriedServers)
    } else if (isRetry && !this.countRetry()) {
      this.refundLimit()
      this.fail(FailureCode.Overloaded, 'The retry budget is used up.')
    } else {
      this.admission.request(server, this.mayStay())
    }
  }

  private recordLimit (server: KnownServer, admission: LimitAdmission): void {
    this.countedServer = admission === LimitAdmission.Counted ? server : undefined
    this.allowedServer = admission === LimitAdmission.Refused ? undefined : server
  }

  /** Whether the attempt may go on waiting in its queue until another server takes it. */
  private mayStay (): boolean {
    const { context, exchange, ledger } = this.options
    const server = this.admission.serverToKeep
    return server !== undefined && context.isSuitable(exchange, ledger, server)
  }

  /** Sends the attempt, unless it stayed in the queue without being counted against the limit: then the server may still take no requests. */
  private checkLimit (server: KnownServer, isAdmitted: boolean): void {
    const { context, exchange, ledger, onPlaced } = this.options
    if (this.allowedServer === server) {
      onPlaced(server, isAdmitted)
    } else if (opensAt(server) <= context.clock.now() && context.isSuitable(exchange, ledger, server)) {
      context.limits.admit(server, exchange, this.options.steps.wrap(admission => this.onLimitChecked(server, admission, isAdmitted)))
    } else {
      this.admission.returnAdmission(server)
      this.placeNext()
    }
  }

  private onLimitChecked (server: KnownServer, admission: LimitAdmission, isAdmitted: boolean): void {
    this.recordLimit(server, admission)
    if (!this.options.isNeeded()) {
      this.releaseLimit(server)
    } else if (admission === LimitAdmission.Refused) {
      this.admission.returnAdmission(server)
      this.placeNext()
    } else {
      this.options.onPlaced(server, isAdmitted)
    }
  }

  /** Counts the attempt against the retry budget; returns whether the budget allows it. */
  private countRetry (): boolean {
    const { context: { clock, log, retries }, exchange } = this.options
    const isAllowed = retries.tryRetry(exchange.service, clock.now())
    log.retryDecided(exchange, isAllowed, retries.available(exchange.service, clock.now()))
    return isAllowed
  }

  /** Fails with the code of an earlier attempt that ran, if any: it says more than that no server is left. */
  private fail (code: FailureCode, message: string, retryAt?: number): void {
    this.options.onFailed(this.options.ledger.ranCode ?? code, message, retryAt)
  }
}
