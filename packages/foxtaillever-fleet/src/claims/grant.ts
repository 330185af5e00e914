/**
 * The permission to send one non-idempotent request. It is used for one attempt
 * at a time and checked against its deadline just before the first byte is sent.
 */
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { Claim } from './claim.js'

enum GrantState {
  Free = 'free',
  /** An attempt is in flight, or has ended without proof that it did not run. */
  InUse = 'in-use',
  Settled = 'settled'
}

export class Grant {
  private state = GrantState.Free

  private constructor (readonly claim: Claim, readonly offset: number, readonly deadline: number) {}

  static create (claim: Claim, offset: number, deadline: number): Grant {
    return new Grant(claim, offset, deadline)
  }

  /** Called right before the first byte is sent; fails if the process was paused beyond the deadline. */
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

  /** The last attempt is proven not to have run, so another one may follow. */
  release (): void {
    if (this.state === GrantState.InUse) {
      this.state = GrantState.Free
    }
  }

  /** Allows no further attempt. Returns false when the grant was closed before. */
  close (): boolean {
    const isFirst = this.state !== GrantState.Settled
    this.state = GrantState.Settled
    return isFirst
  }
}
