/** Applies what backend servers state about themselves in their answers to calls of every kind. */
import type { Clock } from 'foxtaillever-core'
import type { ServerStatement } from '../model/serverStatement.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { BrittleServers } from './brittleServers.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

export interface ServerStatementHandlerOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'get' | 'markLeaving' | 'newestStatedState'>
  readonly limits: Pick<ServerLimits, 'applyStatement'>
  readonly brittle: Pick<BrittleServers, 'applyStatement'>
  /** A server asked this instance for backoff. Other instances must know, or the server would have to ask them next. */
  readonly onBackoffRequested: (server: KnownServer) => void
  readonly log: Pick<RelayLog, 'leavingStated' | 'backoffRequested' | 'backoffUnreadable'>
}

export class ServerStatementHandler {
  private constructor (private readonly options: ServerStatementHandlerOptions) {}

  static create (options: ServerStatementHandlerOptions): ServerStatementHandler {
    return new ServerStatementHandler(options)
  }

  /** @param sentAt when the answered request was sent, milliseconds of Unix time. */
  applyStatement (server: KnownServer, statement: ServerStatement, sentAt: number): void {
    const { serverId, requestId, hasRun, isLeaving, restMs } = statement
    const { clock, directory, limits, brittle, log, onBackoffRequested } = this.options
    const now = clock.now()
    const { id } = server.listed
    // Another server answers at the address; its statement is not about this server.
    if (serverId !== undefined && serverId !== id) {
      return
    }
    limits.applyStatement(directory.get(id) ?? server, statement, sentAt)
    brittle.applyStatement(directory.get(id) ?? server, statement, sentAt)
    if (isLeaving) {
      log.leavingStated(id, requestId, directory.markLeaving(id, now))
    }
    if (hasRun) {
      directory.newestStatedState(id)?.recordAccepted(sentAt)
    }
    restMs
      .ifLeft(text => log.backoffUnreadable(id, text))
      .ifRight(ms => {
        if (ms > 0) {
          directory.newestStatedState(id)?.recordBackoff(now + ms, now)
          onBackoffRequested(server)
          log.backoffRequested(id, requestId, ms)
        }
      })
  }
}
