/**
 * Pulls the configuration from a peer when this instance has fallen behind:
 * after a restart while the log is down, or when the log is slow. Each message
 * contains its sender's revision, so an instance learns of a newer revision
 * within one or two ticks.
 */
import type { Clock } from 'foxtaillever-core'
import type { Peers } from '../membership/peers.js'
import type { ConfigurationPosition } from '../membership/member.js'
import { OfferOutcome, type ConfigurationStore } from './configurationStore.js'

/** How long the log may take to deliver a revision that a peer already has, milliseconds. */
const GRACE_MS = 1000

/** Time without an answer after which the log counts as down, milliseconds; twice the wait of a read. */
const LOG_TIMEOUT_MS = 4000

/** Delay before the next attempt, milliseconds. */
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
  /** When to pull, milliseconds of Unix time. */
  private pullAt = Infinity
  /** No attempt is made before this time, milliseconds of Unix time. */
  private retryAt = 0
  private isPulling = false
  private pulled = 0

  private constructor (private readonly store: ConfigurationStore, private readonly parts: PullParts) {}

  static create (store: ConfigurationStore, parts: PullParts): PullSystem {
    return new PullSystem(store, parts)
  }

  pullCount (): number {
    return this.pulled
  }

  /** Handles a peer's statement of its position in the configuration log. */
  receivePosition (address: string, position: ConfigurationPosition): void {
    if (!this.isAhead(position)) {
      return
    }
    if (this.candidate === undefined || position.offset > this.candidate.position.offset) {
      this.candidate = { address, position }
    }
    const due = Math.max(this.retryAt, this.parts.clock.now() + this.gracePeriod())
    this.pullAt = Math.min(this.pullAt, due)
    this.tick()
  }

  /** Run each tick. */
  tick (): void {
    const { candidate } = this
    if (candidate === undefined || this.isPulling || this.parts.clock.now() < this.pullAt) {
      return
    }
    this.candidate = undefined
    this.pullAt = Infinity
    if (this.isAhead(candidate.position)) {
      this.pull(candidate).catch(() => {}).finally(() => { this.isPulling = false })
    }
  }

  /** No grace without a configuration, or while the log is down. */
  private gracePeriod (): number {
    const logAnswers = this.parts.clock.now() - this.parts.logAnsweredAt() < LOG_TIMEOUT_MS
    return this.store.hasConfiguration() && logAnswers ? GRACE_MS : 0
  }

  private isAhead ({ revision, offset }: ConfigurationPosition): boolean {
    const { configuration, offset: folded } = this.store.current()
    return revision > configuration.revision || (this.store.hasGap() && offset > folded)
  }

  private async pull ({ address }: Candidate): Promise<void> {
    this.isPulling = true
    if (await this.pullChanges(address)) {
      return
    }
    const answer = await this.parts.peers.configuration(address)
    answer.caseOf({
      Left: () => { this.retryAt = this.parts.clock.now() + RETRY_MS },
      Right: copy => {
        this.pulled += 1
        this.store.offerCopy(copy)
      }
    })
  }

  /** Tries to pull only the changes; an instance without a configuration, or with a gap, needs the whole. */
  private async pullChanges (address: string): Promise<boolean> {
    if (!this.store.hasConfiguration() || this.store.hasGap()) {
      return false
    }
    const answer = await this.parts.peers.changes?.(address, this.store.configuration().revision)
    const outcome = answer?.map(changes => this.store.offerChanges(changes)).toMaybe().extractNullable()
    this.pulled += outcome === OfferOutcome.Adopted ? 1 : 0
    return outcome === OfferOutcome.Adopted || outcome === OfferOutcome.Older
  }
}
