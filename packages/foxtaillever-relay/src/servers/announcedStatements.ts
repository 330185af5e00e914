/** Rates that servers state in their answers and instances announce to each other: read, kept by incarnation, and passed on. */
import type { Clock } from 'foxtaillever-core'
import { StatedLimits, type LimitChange, type StatedLimit } from 'foxtaillever-policy/limits/statedLimits'
import { LimitStatementKind, type LimitStatement } from '../model/limitStatement.js'
import type { LimitUpdate } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'

export interface AnnouncedStatementsOptions {
  readonly clock: Clock
  readonly directory: Pick<ServerDirectory, 'getByHash'>
  readonly log: Pick<RelayLog, 'limitUnreadable'>
  /**
   * The statement in force has changed.
   * @param isOwn whether this instance learned it from an answer.
   * @param at when it was stated, milliseconds of Unix time.
   */
  readonly onChanged: (server: KnownServer, change: LimitChange, isOwn: boolean, at: number) => void
}

export class AnnouncedStatements {
  private readonly stated = StatedLimits.create()

  private constructor (private readonly options: AnnouncedStatementsOptions) {}

  static create (options: AnnouncedStatementsOptions): AnnouncedStatements {
    return new AnnouncedStatements(options)
  }

  /** Whether any statement is in force. */
  get isAnyInForce (): boolean {
    return this.stated.isAnyInForce
  }

  /** The statement in force of the server, given by its hash. */
  of (server: number): StatedLimit | undefined {
    return this.stated.limitOf(server)
  }

  /**
   * Applies what an answer states.
   * @param hasRun whether the server accepted the request: a rejection need not repeat the statement.
   * @param sentAt when its request was sent, milliseconds of Unix time.
   */
  apply (server: KnownServer, statement: LimitStatement, hasRun: boolean, sentAt: number): void {
    const { clock, log } = this.options
    switch (statement.kind) {
      case LimitStatementKind.Limit: this.record(server, statement.perSecond, clock.now(), true); break
      case LimitStatementKind.Unreadable: log.limitUnreadable(server.listed.id, statement.text); break
      case LimitStatementKind.None:
        if (hasRun) {
          this.record(server, undefined, sentAt, true)
        }
    }
  }

  /** Applies updates of another instance. */
  applyUpdates (updates: readonly LimitUpdate[]): void {
    const { clock, directory } = this.options
    updates.forEach(({ server, perSecond, ageMs }) => {
      const known = directory.getByHash(server)
      if (known) {
        this.record(known, perSecond, clock.now() - ageMs, false)
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

  private record (server: KnownServer, perSecond: number | undefined, at: number, isOwn: boolean): void {
    const change = this.stated.recordStatement(server.hash, perSecond, at)
    if (change) {
      this.options.onChanged(server, change, isOwn, at)
    }
  }
}
