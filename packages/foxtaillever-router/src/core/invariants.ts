/**
 * Invariants, checked where they could break. A check costs a comparison and a
 * counter, so it is always on. A violation is counted and reported; in tests it
 * throws.
 */
export enum Invariant {
  /** "Not run" is reported only if it is proven for every byte that was sent. */
  NotRunProven = 'not_run_proven',
  /** A non-idempotent request is sent only under its claim. */
  ClaimedBeforeSend = 'claimed_before_send',
  /** A caller receives each token once and in order. */
  TokensInOrder = 'tokens_in_order',
  /** An answer ends as complete only after all its tokens were passed on. */
  AnswerComplete = 'answer_whole',
  /** A request gets exactly one outcome. */
  SingleOutcome = 'one_last_word',
  /** One answer comes from one version of the weights. */
  SameWeights = 'same_weights',
  /** A stream is resumed only at the engine that began it. */
  SameStream = 'same_stream',
  /** A backend server known to leave gets no new work. */
  NothingForLeaving = 'nothing_for_leaving'
}

export interface InvariantCount {
  checked: number
  violated: number
}

export interface InvariantOptions {
  /** Whether a violation throws; for tests. */
  readonly isFatal: boolean
  readonly onViolation: (invariant: Invariant, detail: string) => void
}

export class InvariantError extends Error {}

export class Invariants {
  private readonly counts = new Map<Invariant, InvariantCount>()

  private constructor (private readonly options: InvariantOptions) {
    Object.values(Invariant).forEach(invariant => this.counts.set(invariant, { checked: 0, violated: 0 }))
  }

  static create (options: InvariantOptions = { isFatal: false, onViolation: () => {} }): Invariants {
    return new Invariants(options)
  }

  /** @param detail a function, so that the text is built only for a violation. */
  check (invariant: Invariant, holds: boolean, detail: () => string): void {
    const count = this.counts.get(invariant)
    if (count) {
      count.checked += 1
      count.violated += holds ? 0 : 1
    }
    if (!holds) {
      this.violate(invariant, detail())
    }
  }

  private violate (invariant: Invariant, detail: string): void {
    this.options.onViolation(invariant, detail)
    if (this.options.isFatal) {
      throw new InvariantError(`${invariant}: ${detail}`)
    }
  }

  /** For metrics and the state dump. */
  report (): Readonly<Record<Invariant, InvariantCount>> {
    const entries = [...this.counts].map(([invariant, count]) => [invariant, { ...count }])
    return Object.fromEntries(entries) as Record<Invariant, InvariantCount>
  }
}
