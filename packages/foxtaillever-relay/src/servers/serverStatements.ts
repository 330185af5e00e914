/** Takes in what backend servers state of themselves, from answers to calls of every kind. */
import type { Clock } from 'foxtaillever-core'
import type { ServerStatement } from '../model/serverStatement.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

export interface ServerStatementsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'get' | 'observeLeaving' | 'newestStated'>
  readonly limits: Pick<ServerLimits, 'observe'>
  /** The others would be asked next. */
  readonly onRestAsked: (server: KnownServer) => void
  readonly log: Pick<RelayLog, 'saysItLeaves' | 'asksForRest' | 'restUnreadable'>
}

export class ServerStatements {
  private constructor (private readonly options: ServerStatementsOptions) {}

  static create (options: ServerStatementsOptions): ServerStatements {
    return new ServerStatements(options)
  }

  /** @param sentAt when the request was sent that is answered, milliseconds of Unix time. */
  observe (server: KnownServer, statement: ServerStatement, sentAt: number): void {
    const { serverId, requestId, hasRun, isLeaving, restMs } = statement
    const { clock, directory, limits, log, onRestAsked } = this.options
    const now = clock.now()
    const { id } = server.listed
    // Another server answers at the address; it speaks of itself.
    if (serverId !== undefined && serverId !== id) {
      return
    }
    limits.observe(directory.get(id) ?? server, statement, sentAt)
    if (isLeaving) {
      log.saysItLeaves(id, requestId, directory.observeLeaving(id, now))
    }
    if (hasRun) {
      directory.newestStated(id)?.recordAccepted(sentAt)
    }
    restMs
      .ifLeft(text => log.restUnreadable(id, text))
      .ifRight(ms => {
        if (ms > 0) {
          directory.newestStated(id)?.recordBackoff(now + ms, now)
          onRestAsked(server)
          log.asksForRest(id, requestId, ms)
        }
      })
  }
}
