/**
 * Keeps a stream at the software version of the server that sent its first event,
 * over all attempts of an exchange and over the tries of its caller.
 */
import { Failure, FailureCode } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { ExchangeContext } from './exchangeContext.js'

export class StreamContinuity {
  private constructor (private readonly context: ExchangeContext, private readonly exchange: Exchange, private readonly ledger: AttemptLedger) {}

  static create (context: ExchangeContext, exchange: Exchange, ledger: AttemptLedger): StreamContinuity {
    return new StreamContinuity(context, exchange, ledger)
  }

  /** Finds the version at which a stream that the caller takes up must go on; calls back with a failure if it cannot go on. */
  resolve (onResolved: (refusal?: Failure) => void): void {
    const { context: { streamVersions, clock, log }, exchange, ledger } = this
    const { service, resumedId } = exchange
    if (!this.isTakenUp) {
      onResolved()
      return
    }
    const askedAt = clock.now()
    streamVersions.find(service, resumedId, ({ isKnown, softwareVersion }) => {
      log.takenUp(exchange, isKnown, softwareVersion, clock.now() - askedAt)
      ledger.softwareVersion = softwareVersion
      onResolved(softwareVersion === undefined ? this.refuse() : undefined)
    })
  }

  /** Logs an attempt that goes on after events that the caller has received. */
  recordAttempt ({ listed }: KnownServer, lastEventId: string): void {
    if (lastEventId !== '') {
      this.context.log.continued(this.exchange, listed, lastEventId)
    }
  }

  /** Records the server whose event is the first that the caller receives in this exchange. */
  recordFirstEvent (server: KnownServer | undefined): void {
    const { context: { streamVersions }, exchange: { id, service, route, resumedId }, ledger } = this
    if (!server || !route.isStream || !route.isResumable) {
      return
    }
    ledger.softwareVersion = server.listed.softwareVersion
    if (!this.isTakenUp || resumedId !== '') {
      streamVersions.record({ id: this.isTakenUp ? resumedId : id, service, softwareVersion: server.listed.softwareVersion })
    }
  }

  private get isTakenUp (): boolean {
    const { route, resumeAfter } = this.exchange
    return route.isStream && route.isResumable && resumeAfter !== ''
  }

  private refuse (): Failure {
    const code = FailureCode.NoBackendServer
    return Failure.notRun(code, 'No instance knows which software version began the stream, and not one alone serves.', earliestRetryTime(code, this.context.clock.now()))
  }
}
