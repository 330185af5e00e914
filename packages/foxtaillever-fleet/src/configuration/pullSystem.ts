/**
 * Takes the configuration from a peer when this instance has fallen behind:
 * after a restart while the log is down, or when the log is slow. Each message
 * names its sender's revision, so an instance hears of a newer one within a
 * tick or two.
 */
import type { Clock } from 'foxtaillever-core'
import type { Peers } from '../membership/peers.js'
import type { ConfigurationPosition } from '../membership/member.js'
import { OfferOutcome, type ConfigurationStore } from './configurationStore.js'

/** How long the log may take to deliver what a peer already has, milliseconds. */
const GRACE_MS = 1000

/** Past this age of its last answer the log counts as down, milliseconds; twice the wait of a read. */
const LOG_SILENCE_MS = 4000

/** Pause before the next try, milliseconds. */
const RETRY_MS = 500

export interface PullParts {
  readonly peers: Peers
  readonly clock: Clock
  /** When the log last answered, milliseconds of Unix time. */
  readonly logAnsweredAt: () => number
}

interface Candidate {
  readonly address: string
  readonly position: ConfigurationPosition
}

export class PullSystem {
  private candidate: Candidate | undefined
  /** When to fetch, milliseconds of Unix time. */
  private deadline = Infinity
  /** No try before this instant, milliseconds of Unix time. */
  private retryAt = 0
  private busy = false
  private pulled = 0

  private constructor (private readonly store: ConfigurationStore, private readonly parts: PullParts) {}

  static create (store: ConfigurationStore, parts: PullParts): PullSystem {
    return new PullSystem(store, parts)
  }

  pullCount (): number {
    return this.pulled
  }

  /** Notes what a peer says of its configuration. */
  hear (address: string, position: ConfigurationPosition): void {
    if (!this.isAhead(position)) {
      return
    }
    if (this.candidate === undefined || position.offset > this.candidate.position.offset) {
      this.candidate = { address, position }
    }
    const due = Math.max(this.retryAt, this.parts.clock.now() + this.grace())
    this.deadline = Math.min(this.deadline, due)
    this.tick()
  }

  /** Run each tick. */
  tick (): void {
    const { candidate } = this
    if (candidate === undefined || this.busy || this.parts.clock.now() < this.deadline) {
      return
    }
    this.candidate = undefined
    this.deadline = Infinity
    if (this.isAhead(candidate.position)) {
      this.pull(candidate).catch(() => {}).finally(() => { this.busy = false })
    }
  }

  /** Without any configuration, or a log to wait for, there is no reason to wait. */
  private grace (): number {
    const logAnswers = this.parts.clock.now() - this.parts.logAnsweredAt() < LOG_SILENCE_MS
    return this.store.isKnown() && logAnswers ? GRACE_MS : 0
  }

  private isAhead ({ revision, offset }: ConfigurationPosition): boolean {
    const { configuration, offset: folded } = this.store.current()
    return revision > configuration.revision || (this.store.hasGap() && offset > folded)
  }

  private async pull ({ address }: Candidate): Promise<void> {
    this.busy = true
    if (await this.pullChanges(address)) {
      return
    }
    const answer = await this.parts.peers.configuration(address)
    answer.caseOf({
      Left: () => { this.retryAt = this.parts.clock.now() + RETRY_MS },
      Right: copy => {
        this.pulled += 1
        this.store.offer(copy)
      }
    })
  }

  /** Tries with the changes alone; an instance that knows nothing needs the whole. */
  private async pullChanges (address: string): Promise<boolean> {
    if (!this.store.isKnown() || this.store.hasGap()) {
      return false
    }
    const answer = await this.parts.peers.changes?.(address, this.store.configuration().revision)
    const outcome = answer?.map(changes => this.store.offerChanges(changes)).toMaybe().extractNullable()
    this.pulled += outcome === OfferOutcome.Taken ? 1 : 0
    return outcome === OfferOutcome.Taken || outcome === OfferOutcome.Older
  }
}
