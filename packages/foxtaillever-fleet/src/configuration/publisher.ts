/**
 * Publishes changes of configuration. "Accepted" is said only after the record
 * has been read back and folded. An append whose answer was lost is never
 * repeated: a second record could win against another operator's change that
 * the first one lost to. The writer reads on until it sees its own id.
 */
import { FailureCode, RecordKind, Verdict, type Clock, type Failure, type Log, type LogEntry, type LogRecord, type Random } from 'foxtaillever-core'
import type { Change, ConfigurationRecord } from './change.js'
import type { ConfigurationStore } from './configurationStore.js'

export enum PublicationOutcome {
  Accepted = 'accepted',
  /** Another change was first, or the change cannot be applied; nothing of it is in force. */
  Refused = 'refused',
  /** Proven not to stand in the log; it may be published again. */
  NotPublished = 'not-published',
  /** Its deadline passed before the record was seen; it may still come into force. */
  Unknown = 'unknown'
}

/** What an operator hears about a change. */
export interface Publication {
  readonly outcome: PublicationOutcome
  readonly id: string
  /** The revision in force: the operator's own when accepted, the other's when refused. */
  readonly revision: number
  /** Who made the revision in force. */
  readonly author: string
  readonly message: string
}

export interface PublicationOrder {
  /** Revision the operator saw. */
  readonly base: number
  readonly author: string
  readonly changes: readonly Change[]
  /** Milliseconds of Unix time. */
  readonly deadline: number
}

interface Pending {
  readonly id: string
  readonly finish: (publication: Publication) => void
}

const ID_WORDS = 4
const WORD = 2 ** 32

function drawId (random: Random): string {
  return Array.from({ length: ID_WORDS }, () => random.below(WORD).toString(16).padStart(8, '0')).join('')
}

export class Publisher {
  private readonly pending = new Map<string, Pending>()

  private constructor (
    private readonly log: Log,
    private readonly store: ConfigurationStore,
    private readonly clock: Clock,
    private readonly random: Random
  ) {
    store.onChange(() => this.settleAccepted())
  }

  static create (log: Log, store: ConfigurationStore, clock: Clock, random: Random): Publisher {
    return new Publisher(log, store, clock, random)
  }

  /** Publishes the changes; the answer comes by the deadline. */
  async publish (order: PublicationOrder): Promise<Publication> {
    const id = drawId(this.random)
    const { configuration } = this.store.current()
    // A base ahead of this fold is another instance's news; the log decides on it.
    if (order.base < configuration.revision) {
      return this.publication(PublicationOutcome.Refused, id, 'The change builds on a revision that is not in force.')
    }
    const body: ConfigurationRecord = { base: order.base, author: order.author, changes: order.changes }
    const entry: LogEntry = { id, kind: RecordKind.Configuration, writtenAt: this.clock.now(), body }
    return await new Promise<Publication>(resolve => this.append(entry, order.deadline, resolve))
  }

  /** Looks for the publisher's own records; must read after the store. */
  readonly take = (record: LogRecord): void => {
    const pending = this.pending.get(record.id)
    if (!pending) {
      return
    }
    if (this.store.acceptedRevision(record.id)) {
      this.settleAccepted()
      return
    }
    if (this.store.hasGap() || !this.store.remembers(record.offset)) {
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
      answer => answer.ifLeft(failure => this.failed(entry.id, failure)),
      () => {}
    )
  }

  /** Only a proof that nothing was appended ends the wait. */
  private failed (id: string, failure: Failure): void {
    if (failure.verdict !== Verdict.NotRun) {
      return
    }
    const reason = failure.code === FailureCode.LogUnavailable ? 'The log is down; nothing was published.' : `The log refused the record: ${failure.message}`
    this.pending.get(id)?.finish(this.publication(PublicationOutcome.NotPublished, id, reason))
  }

  private settleAccepted (): void {
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
