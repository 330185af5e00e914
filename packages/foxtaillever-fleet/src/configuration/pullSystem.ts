/**
 * Takes the configuration from a peer when this instance has fallen behind:
 * after a restart while the log is down, or when the log is slow. Each message
 * names its sender's revision, so an instance hears of a newer one within a
 * tick or two.
 */
import type { Clock } from 'foxtaillever-core'
import type { Peers } from '../membership/peers.js'
import type { ConfigurationPosition } from '../membership/member.js'
import type { ConfigurationStore } from './configurationStore.js'

/** How long the log may take to deliver what a peer already has, milliseconds. */
const GRACE_MS = 1000

/** Pause before the next try, milliseconds. */
const RETRY_MS = 500

interface Candidate {
  readonly address: string
  readonly position: ConfigurationPosition
}

export class PullSystem {
  private candidate: Candidate | undefined
  /** When to fetch, milliseconds of Unix time. */
  private deadline = Infinity
  private busy = false
  private pulled = 0

  private constructor (private readonly store: ConfigurationStore, private readonly peers: Peers, private readonly clock: Clock) {}

  static create (store: ConfigurationStore, peers: Peers, clock: Clock): PullSystem {
    return new PullSystem(store, peers, clock)
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
    // An instance without any configuration serves nothing, so it does not wait.
    const due = this.clock.now() + (this.store.isKnown() ? GRACE_MS : 0)
    this.deadline = Math.min(this.deadline, due)
    this.tick()
  }

  /** Run each tick. */
  tick (): void {
    const { candidate } = this
    if (candidate === undefined || this.busy || this.clock.now() < this.deadline) {
      return
    }
    this.candidate = undefined
    this.deadline = Infinity
    if (this.isAhead(candidate.position)) {
      this.pull(candidate).catch(() => {})
    }
  }

  private isAhead ({ revision, offset }: ConfigurationPosition): boolean {
    const { configuration, offset: folded } = this.store.current()
    return revision > configuration.revision || (this.store.hasGap() && offset > folded)
  }

  private async pull ({ address }: Candidate): Promise<void> {
    this.busy = true
    const answer = await this.peers.configuration(address)
    this.busy = false
    answer.caseOf({
      Left: () => { this.deadline = this.clock.now() + RETRY_MS },
      Right: copy => {
        this.pulled += 1
        this.store.offer(copy)
      }
    })
  }
}
