/** Takes in what backend servers state of themselves, from answers to calls of every kind. */
import type { Clock } from 'foxtaillever-core'
import type { ServerStatement } from '../model/serverStatement.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

export interface ServerStatementsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'observeLeaving'>
  readonly log: Pick<RelayLog, 'saysItLeaves' | 'asksForRest' | 'restUnreadable'>
}

export class ServerStatements {
  private constructor (private readonly options: ServerStatementsOptions) {}

  static create (options: ServerStatementsOptions): ServerStatements {
    return new ServerStatements(options)
  }

  observe (server: KnownServer, { serverId, requestId, isLeaving, restMs }: ServerStatement): void {
    const { clock, directory, log } = this.options
    const { id } = server.listed
    // Another server answers at the address; it speaks of itself.
    if (serverId !== undefined && serverId !== id) {
      return
    }
    if (isLeaving) {
      log.saysItLeaves(id, requestId, directory.observeLeaving(id, clock.now()))
    }
    restMs
      .ifLeft(text => log.restUnreadable(id, text))
      .ifRight(ms => {
        if (ms > 0) {
          log.asksForRest(id, requestId, ms)
        }
      })
  }
}
