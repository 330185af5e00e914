/** Keeps an unexpected error in a step of one request from leaving that request without an owner. */

export class StepGuard {
  private constructor (private readonly onError: (error: unknown) => void) {}

  /** @param onError ends the request; receives what a step threw. */
  static create (onError: (error: unknown) => void): StepGuard {
    return new StepGuard(onError)
  }

  /** Runs a step; returns `otherwise` if it throws. */
  run<Result> (step: () => Result, otherwise: Result): Result {
    try {
      return step()
    } catch (error) {
      this.onError(error)
      return otherwise
    }
  }

  /** A callback that may throw without harm to its caller. */
  wrap<Terms extends unknown[]> (step: (...terms: Terms) => void): (...terms: Terms) => void {
    return (...terms) => {
      try {
        step(...terms)
      } catch (error) {
        this.onError(error)
      }
    }
  }
}

/** Runs all steps, also after one that throws, and then throws the first error. */
export function runAll (...steps: ReadonlyArray<() => void>): void {
  const errors: unknown[] = []
  const guard = StepGuard.create(error => errors.push(error))
  steps.forEach(step => guard.run(step, undefined))
  if (errors.length > 0) {
    throw errors[0]
  }
}
