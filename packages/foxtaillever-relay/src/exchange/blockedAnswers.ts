/**
 * Answers whose callers have not taken what was written. When the memory has no room for bytes of answers, the one that
 * has been blocked for longest is cut: a caller that reads is blocked for milliseconds.
 */
export interface BlockedAnswer {
  /** Closes the connection, and returns what the answer holds. */
  readonly cut: () => void
}

export class BlockedAnswers {
  /** In the order in which they became blocked. */
  private readonly answers = new Set<BlockedAnswer>()

  private constructor (private readonly onCut: () => void) {}

  static create (onCut: () => void): BlockedAnswers {
    return new BlockedAnswers(onCut)
  }

  add (answer: BlockedAnswer): void {
    this.answers.add(answer)
  }

  delete (answer: BlockedAnswer): void {
    this.answers.delete(answer)
  }

  /** Returns whether there was one to cut. */
  cutLongestBlocked (): boolean {
    const [first] = this.answers
    if (first === undefined) {
      return false
    }
    this.answers.delete(first)
    this.onCut()
    first.cut()
    return true
  }
}
