/** Rate limits that backend servers state, as the exchanges of an instance learn them from answers. */
import type { Clock } from 'foxtaillever-core'
import { StatedLimits } from 'foxtaillever-policy/limits/statedLimits'
import type { Exchange } from '../model/exchange.js'
import { LimitStatementKind } from '../model/limitStatement.js'
import type { AnswerMarks } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { RelayLog } from '../telemetry/relayLog.js'

export interface ServerLimitsOptions {
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'belief' | 'limitUnreadable' | 'sentUnderLimit'>
}

export class ServerLimits {
  private readonly stated = StatedLimits.create()

  private constructor (private readonly options: ServerLimitsOptions) {}

  static create (options: ServerLimitsOptions): ServerLimits {
    return new ServerLimits(options)
  }

  /**
   * Takes in what an answer states.
   * @param sentAt when its request was sent, milliseconds of Unix time.
   */
  observe (server: KnownServer, { limit, isStamped, isNotRun }: AnswerMarks, sentAt: number): void {
    const { clock, log } = this.options
    switch (limit.kind) {
      case LimitStatementKind.Limit: this.learn(server, limit.perSecond, clock.now()); break
      case LimitStatementKind.Unreadable: log.limitUnreadable(server.listed.id, limit.text); break
      case LimitStatementKind.None:
        // A rejection need not repeat the limit.
        if (isStamped && !isNotRun) {
          this.learn(server, undefined, sentAt)
        }
    }
  }

  /** A request is about to be sent to the server. */
  noteSend (exchange: Exchange, { hash, listed }: KnownServer): void {
    const limit = this.stated.of(hash)
    if (limit) {
      this.options.log.sentUnderLimit(exchange, listed.id, limit, this.options.clock.now())
    }
  }

  private learn ({ hash, listed }: KnownServer, perSecond: number | undefined, at: number): void {
    const before = this.stated.of(hash)?.perSecond
    if (this.stated.observe(hash, perSecond, at)) {
      this.options.log.belief('A backend server states another limit of requests a second.', { server: listed.id, perSecond, before })
    }
  }
}
