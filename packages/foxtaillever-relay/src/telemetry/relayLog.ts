/**
 * The lines of the relay: one for each decision that touches a request or
 * changes what the process believes.
 */
import { Verdict, type Failure } from 'foxtaillever-core'
import { Part, type Logs, type Subject } from 'foxtaillever-telemetry'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import type { ExchangeEnd } from '../exchange/exchangeEnd.js'
import type { Exchange, ExchangeHead } from '../model/exchange.js'

/** How an exchange ended. */
export interface ExchangeOutcome {
  readonly exchange: Exchange
  readonly end: ExchangeEnd
  /** Status, or the failure's code. */
  readonly outcome: string
  readonly verdict: Verdict
  readonly servers: readonly string[]
  readonly now: number
}

export class RelayLog {
  private constructor (private readonly logs: Logs) {}

  static create (logs: Logs): RelayLog {
    return new RelayLog(logs)
  }

  refused (head: ExchangeHead, failure: Failure): void {
    this.logs.write('info', Part.Callers, 'Refused a request.', { request: head.id, code: failure.code, verdict: failure.verdict, host: head.host, path: head.path })
  }

  malformed (reason: string): void {
    this.logs.write('warn', Part.Callers, 'Got a malformed request.', { reason })
  }

  firstEvent (exchange: Exchange, now: number): void {
    this.logs.write('debug', Part.Requests, 'Passed on the first event.', { request: exchange.id, afterMs: Math.round(now - exchange.arrivedAt) })
  }

  attemptFailed (exchange: Exchange, server: string, { kind, detail }: AttemptFailure, verdict: Verdict): void {
    this.logs.write('warn', Part.Requests, 'A try failed.', { request: exchange.id, server, kind, detail, verdict })
  }

  silent (exchange: Exchange, server: string, isOnKeptConnection: boolean): void {
    this.logs.write('warn', Part.Requests, 'A backend server is silent.', { request: exchange.id, server, connection: isOnKeptConnection ? 'kept' : 'new' })
  }

  ended ({ exchange, end, outcome, verdict, servers, now }: ExchangeOutcome): void {
    const subject = { request: exchange.id, account: exchange.account?.name, route: exchange.route.name, end, outcome, verdict, servers: servers.join(' '), ms: Math.round(now - exchange.arrivedAt) }
    this.logs.write('info', Part.Requests, `Ended: ${end}.`, subject)
  }

  belief (sentence: string, subject: Subject): void {
    this.logs.write('info', Part.Fleet, sentence, subject)
  }

  trouble (sentence: string, subject: Subject): void {
    this.logs.write('warn', Part.Fleet, sentence, subject)
  }
}
