/**
 * Servers that state how many requests a second they can reject for want of room: one
 * that has to reject more fails, and its load moves to the others. All requests to such
 * a server need the admission of its queue's owner, which sends no more than it has
 * slots for, so that nothing depends on how many requests the server lets wait.
 */
import type { Clock } from 'foxtaillever-core'
import { StatedLimits } from 'foxtaillever-policy/limits/statedLimits'
import { LimitStatementKind } from '../model/limitStatement.js'
import type { ServerStatement } from '../model/serverStatement.js'
import type { LimitUpdate } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

export interface BrittleServersOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'getByHash' | 'ready'>
  readonly log: Pick<RelayLog, 'belief' | 'limitUnreadable'>
  /** A server became brittle, or no longer is; the other instances must learn of it now. */
  readonly onUrgent: () => void
}

export class BrittleServers {
  private readonly stated = StatedLimits.create()

  private constructor (private readonly options: BrittleServersOptions) {}

  static create (options: BrittleServersOptions): BrittleServers {
    return new BrittleServers(options)
  }

  /** @param sentAt when the answered request was sent, milliseconds of Unix time. */
  applyStatement (server: KnownServer, { maxRejections, hasRun }: Pick<ServerStatement, 'maxRejections' | 'hasRun'>, sentAt: number): void {
    const { clock, log } = this.options
    switch (maxRejections.kind) {
      case LimitStatementKind.Limit: this.recordOwnObservation(server, maxRejections.perSecond, clock.now()); break
      case LimitStatementKind.Unreadable: log.limitUnreadable(server.listed.id, maxRejections.text); break
      case LimitStatementKind.None:
        if (hasRun) {
          this.recordOwnObservation(server, undefined, sentAt)
        }
    }
  }

  /** Applies updates of another instance. */
  applyUpdates (updates: readonly LimitUpdate[]): void {
    const { clock, directory } = this.options
    updates.forEach(({ server, perSecond, ageMs }) => {
      const known = directory.getByHash(server)
      if (known) {
        this.record(known, perSecond, clock.now() - ageMs)
      }
    })
  }

  /** Updates to send to the other instances. */
  updates (): LimitUpdate[] {
    const { clock, directory } = this.options
    const now = clock.now()
    return this.stated.statementsToAnnounce(now)
      .filter(({ server }) => directory.getByHash(server) !== undefined)
      .map(({ server, perSecond, at }) => ({ server, perSecond, ageMs: now - at }))
  }

  /** Whether the server is brittle. One that has not answered yet is taken to be like the others of its service. */
  isBrittle ({ hash, heardAt, listed }: KnownServer): boolean {
    if (this.stated.limitOf(hash) !== undefined) {
      return true
    }
    return heardAt === 0 && this.stated.isAnyInForce && this.options.directory.ready(listed.service).some(other => this.stated.limitOf(other.hash) !== undefined)
  }

  private recordOwnObservation (server: KnownServer, perSecond: number | undefined, at: number): void {
    if (this.record(server, perSecond, at)) {
      this.options.onUrgent()
    }
  }

  /** @returns whether the server has become brittle or no longer is. */
  private record (server: KnownServer, perSecond: number | undefined, at: number): boolean {
    const change = this.stated.recordStatement(server.hash, perSecond, at)
    const isChanged = change !== undefined && (change.before === undefined) !== (change.after === undefined)
    if (isChanged) {
      this.options.log.belief('A backend server states another number of rejections a second that it can bear.', { server: server.listed.id, perSecond, ageMs: Math.round(this.options.clock.now() - at) })
    }
    return isChanged
  }
}
