/**
 * Publishes changes of configuration. A change is reported as accepted only after
 * its record has been read back and folded. An append whose answer was lost is
 * never repeated: the second record could be accepted over the change of another
 * operator that won against the first. The publisher instead reads the log until
 * it sees the id of its record.
 */
import { FailureCode, RecordKind, Verdict, type Clock, type Failure, type Log, type LogEntry, type LogRecord, type Random } from 'foxtaillever-core'
import type { Change, ConfigurationRecord } from './change.js'
import type { ConfigurationStore } from './configurationStore.js'

export enum PublicationOutcome {
  Accepted = 'accepted',
  /** Another change was first, or the change cannot be applied; no part of it is in force. */
  Refused = 'refused',
  /** Proven not to be in the log; it may be published again. */
  NotPublished = 'not-published',
  /** The deadline passed before the record was read; the change may still come into force. */
  Unknown = 'unknown'
}

/** Reply to an operator who published a change. */
export interface Publication {
  readonly outcome: PublicationOutcome
  readonly id: string
  /** The revision in force: the operator's own if accepted, another operator's if refused. */
  readonly revision: number
  /** Author of the revision in force. */
  readonly author: string
  readonly message: string
}

export interface PublicationRequest {
  /** The revision that the operator saw. */
  readonly base: number
  readonly author: string
  readonly changes: readonly Change[]
  /** Milliseconds of Unix time. */
  readonly deadline: number
}

interface PendingPublication {
  readonly id: string
  readonly finish: (publication: Publication) => void
}

const ID_WORDS = 4
const WORD_RANGE = 2 ** 32

function drawId (random: Random): string {
  return Array.from({ length: ID_WORDS }, () => random.below(WORD_RANGE).toString(16).padStart(8, '0')).join('')
}

export class Publisher {
  private readonly pending = new Map<string, PendingPublication>()

  private constructor (
    private readonly log: Log,
    private readonly store: ConfigurationStore,
    private readonly clock: Clock,
    private readonly random: Random
  ) {
    store.onChange(() => this.resolveAccepted())
  }

  static create (log: Log, store: ConfigurationStore, clock: Clock, random: Random): Publisher {
    return new Publisher(log, store, clock, random)
  }

  /** Publishes the changes; resolves by the deadline. */
  async publish (request: PublicationRequest): Promise<Publication> {
    const id = drawId(this.random)
    const { configuration } = this.store.current()
    // The operator may have seen a newer base through another instance; the log decides on it.
    if (request.base < configuration.revision) {
      return this.publication(PublicationOutcome.Refused, id, 'The change builds on a revision that is not in force.')
    }
    const body: ConfigurationRecord = { base: request.base, author: request.author, changes: request.changes }
    const entry: LogEntry = { id, kind: RecordKind.Configuration, writtenAt: this.clock.now(), body }
    return await new Promise<Publication>(resolve => this.append(entry, request.deadline, resolve))
  }

  /** Resolves a pending publication when its record is read. The store must read each record first. */
  readonly handleRecord = (record: LogRecord): void => {
    const pending = this.pending.get(record.id)
    if (!pending) {
      return
    }
    if (this.store.acceptedRevision(record.id)) {
      this.resolveAccepted()
      return
    }
    if (this.store.hasGap() || !this.store.historyReaches(record.offset)) {
      return
    }
    pending.finish(this.publication(PublicationOutcome.Refused, record.id, 'Another change was first, or the change cannot be applied.'))
  }

  private append (entry: LogEntry, deadline: number, resolve: (publication: Publication) => void): void {
    const finish = (publication: Publication): void => {
      if (this.pending.delete(entry.id)) {
        cancel()
        resolve(publication)
      }
    }
    const cancel = this.clock.at(deadline, () => finish(this.publication(PublicationOutcome.Unknown, entry.id, 'The log did not show the record in time; it may still come into force.')))
    this.pending.set(entry.id, { id: entry.id, finish })
    this.log.append(entry).then(
      answer => answer.ifLeft(failure => this.handleAppendFailure(entry.id, failure)),
      () => {}
    )
  }

  /** Ends the wait only if it is proven that nothing was appended. */
  private handleAppendFailure (id: string, failure: Failure): void {
    if (failure.verdict !== Verdict.NotRun) {
      return
    }
    const reason = failure.code === FailureCode.LogUnavailable ? 'The log is down; nothing was published.' : `The log refused the record: ${failure.message}`
    this.pending.get(id)?.finish(this.publication(PublicationOutcome.NotPublished, id, reason))
  }

  private resolveAccepted (): void {
    for (const pending of [...this.pending.values()]) {
      const accepted = this.store.acceptedRevision(pending.id)
      if (accepted) {
        pending.finish({ outcome: PublicationOutcome.Accepted, id: pending.id, revision: accepted.revision, author: accepted.author, message: `Revision ${accepted.revision} is accepted.` })
      }
    }
  }

  private publication (outcome: PublicationOutcome, id: string, message: string): Publication {
    const { configuration, history } = this.store.current()
    return { outcome, id, revision: configuration.revision, author: history.at(-1)?.author ?? '', message }
  }
}
