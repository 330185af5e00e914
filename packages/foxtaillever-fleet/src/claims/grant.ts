/**
 * The leave to send one non-idempotent request. It is used for one sending at
 * a time, checked against its stored deadline just before the first byte.
 */
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { Claim } from './claim.js'

enum GrantState {
  Free = 'free',
  /** A sending is under way or has ended without proof that it did not run. */
  InUse = 'in-use',
  Settled = 'settled'
}

export class Grant {
  private state = GrantState.Free

  private constructor (readonly claim: Claim, readonly offset: number, readonly deadline: number) {}

  static create (claim: Claim, offset: number, deadline: number): Grant {
    return new Grant(claim, offset, deadline)
  }

  /** Called right before the first byte leaves; a paused process finds its time over. */
  use (clock: Clock): Either<Failure, void> {
    if (this.state !== GrantState.Free) {
      return Left(Failure.create(FailureCode.Internal, Verdict.MayHaveRun, 'The claim of this request has been used.'))
    }
    if (clock.now() >= this.deadline) {
      return Left(Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed before the request was sent.'))
    }
    this.state = GrantState.InUse
    return Right(undefined)
  }

  /** The last sending is proven not to have run; another backend server may be tried. */
  giveBack (): void {
    if (this.state === GrantState.InUse) {
      this.state = GrantState.Free
    }
  }

  /** No sending can follow. False when it was settled before. */
  close (): boolean {
    const isFirst = this.state !== GrantState.Settled
    this.state = GrantState.Settled
    return isFirst
  }
}
