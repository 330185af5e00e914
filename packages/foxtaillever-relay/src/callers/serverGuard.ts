/** Bounds what the clients of each server of the process may make it hold. */
import type { Server } from 'node:http'
import { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import type { RelayLog } from '../telemetry/relayLog.js'
import { RequestFeed } from './requestFeed.js'

/** Servers of the process, as the log names them. */
export enum Door {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
  /** Calls of other instances. */
  Peers = 'peers'
}

export interface ServerGuardOptions {
  readonly budget: ProcessBudget
  readonly log: Pick<RelayLog, 'pipelinedExcess'>
}

export class ServerGuard {
  private constructor (private readonly options: ServerGuardOptions) {}

  static create (options: ServerGuardOptions): ServerGuard {
    return new ServerGuard(options)
  }

  /** A guard without a budget, which logs nothing. */
  static unlimited (): ServerGuard {
    return new ServerGuard({ budget: ProcessBudget.unlimited(), log: { pipelinedExcess: () => {} } })
  }

  get budget (): ProcessBudget {
    return this.options.budget
  }

  /** Must be called before others listen for connections of the server. */
  protect (server: Server, door: Door): void {
    const { budget, log } = this.options
    RequestFeed.attach(server, { budget, onPipelinedExcess: () => log.pipelinedExcess(door) })
  }
}
