/** Makes a stand-in server silent once in the middle of its work on a request. It goes on afterwards with what it has. */
import type { Clock } from 'foxtaillever-core'

export enum StallStage {
  BeforeHead = 'before-head',
  AfterHead = 'after-head',
  /** After some events, or after half of an answer that is written at once. */
  MidAnswer = 'mid-answer'
}

export interface StallPlan {
  readonly stage: StallStage
  readonly ms: number
}

/** Holds back what is written to an answer while its server is silent. */
export class AnswerStall {
  private readonly held: Array<() => void> = []
  private isSilent = false
  private isOver = false

  private constructor (private readonly clock: Clock, readonly plan: StallPlan | undefined) {}

  /** @param plan undefined for a server that is never silent. */
  static create (clock: Clock, plan: StallPlan | undefined): AnswerStall {
    return new AnswerStall(clock, plan)
  }

  /** The answer has come to this stage. */
  reach (stage: StallStage): void {
    const { plan, clock } = this
    if (plan?.stage !== stage || this.isSilent || this.isOver) {
      return
    }
    this.isSilent = true
    clock.at(clock.now() + plan.ms, () => {
      this.isSilent = false
      this.isOver = true
      this.held.forEach(write => write())
    })
  }

  write (write: () => void): void {
    if (this.isSilent) {
      this.held.push(write)
    } else {
      write()
    }
  }
}
