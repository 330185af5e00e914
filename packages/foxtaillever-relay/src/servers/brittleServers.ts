/**
 * Servers that state how many requests a second they can reject for want of room: one
 * that has to reject more fails, and its load moves to the others. All requests to such
 * a server need the admission of its queue's owner, which sends no more than it has
 * slots for, so that nothing depends on how many requests the server lets wait.
 */
import type { Clock } from 'foxtaillever-core'
import type { ServerStatement } from '../model/serverStatement.js'
import type { LimitUpdate } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { AnnouncedStatements } from './announcedStatements.js'
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
  private readonly stated: AnnouncedStatements

  private constructor (private readonly options: BrittleServersOptions) {
    const { clock, log, onUrgent } = options
    this.stated = AnnouncedStatements.create({
      ...options,
      onChanged: (server, { before, after }, isOwn, at) => {
        if ((before === undefined) === (after === undefined)) {
          return
        }
        log.belief('A backend server states another number of rejections a second that it can bear.', { server: server.listed.id, perSecond: after, ageMs: Math.round(clock.now() - at) })
        if (isOwn) {
          onUrgent()
        }
      }
    })
  }

  static create (options: BrittleServersOptions): BrittleServers {
    return new BrittleServers(options)
  }

  /** @param sentAt when the answered request was sent, milliseconds of Unix time. */
  applyStatement (server: KnownServer, { maxRejections, hasRun }: Pick<ServerStatement, 'maxRejections' | 'hasRun'>, sentAt: number): void {
    this.stated.apply(server, maxRejections, hasRun, sentAt)
  }

  /** Applies updates of another instance. */
  applyUpdates (updates: readonly LimitUpdate[]): void {
    this.stated.applyUpdates(updates)
  }

  /** Updates to send to the other instances. */
  updates (): LimitUpdate[] {
    return this.stated.updates()
  }

  /** Whether the server is brittle. One that has not answered yet is taken to be like the others of its service. */
  isBrittle ({ hash, heardAt, listed }: KnownServer): boolean {
    const { stated, options: { directory } } = this
    return stated.of(hash) !== undefined || (heardAt === 0 && stated.isAnyInForce && directory.ready(listed.service).some(other => stated.of(other.hash) !== undefined))
  }
}
