/** Bounds what the clients of each server of the process may make it hold. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import { shareDescriptors, type DescriptorShares } from 'foxtaillever-policy/relay/descriptorShares'
import type { RelayLog } from '../telemetry/relayLog.js'
import { ChunkWork } from './chunkWork.js'
import { ConnectionCap } from './connectionCap.js'
import { RequestFeed } from './requestFeed.js'

/** Servers of the process, as the log names them. */
export enum Door {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
  /** Calls of other instances, and of operators where they share the port. */
  Peers = 'peers'
}

export interface ServerGuardOptions {
  readonly budget: ProcessBudget
  readonly shares: DescriptorShares
  readonly log: Pick<RelayLog, 'pipelinedExcess' | 'connectionCapped' | 'openHeadExcess'>
}

export class ServerGuard {
  private readonly chunkWork = ChunkWork.create()

  private constructor (private readonly options: ServerGuardOptions) {}

  static create (options: ServerGuardOptions): ServerGuard {
    return new ServerGuard(options)
  }

  /** A guard without a budget, which logs nothing. */
  static unlimited (): ServerGuard {
    return new ServerGuard({ budget: ProcessBudget.unlimited(), shares: shareDescriptors(), log: { pipelinedExcess: () => {}, connectionCapped: () => {}, openHeadExcess: () => {} } })
  }

  get budget (): ProcessBudget {
    return this.options.budget
  }

  /** Most requests of callers in progress. */
  get maxRequests (): number {
    return this.options.shares.requests
  }

  /**
   * Must be called before others listen for connections of the server.
   * @param refuse writes an answer to the beginning of a request, whose connection is closed after it.
   */
  protect (server: Server, door: Door, refuse: (socket: Socket) => void = () => {}): void {
    const { budget, shares, log } = this.options
    ConnectionCap.attach(server, { maxConnections: shares[door], onClosed: closure => log.connectionCapped(door, closure) })
    RequestFeed.attach(server, {
      budget,
      chunkWork: this.chunkWork,
      onPipelinedExcess: () => log.pipelinedExcess(door),
      refuseOpenHead: socket => {
        log.openHeadExcess(door)
        refuse(socket)
      }
    })
  }
}
