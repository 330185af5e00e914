/**
 * Calls the callback when the pending work is done, or synchronously where
 * there is none. A resolved promise would call it a turn later, and most
 * exchanges have nothing to wait for.
 */
export function runAfter<Result> (pending: Promise<Result> | undefined, callback: (result: Result | undefined) => void): void {
  if (pending === undefined) {
    callback(undefined)
    return
  }
  pending.then(callback, error => { throw error })
}
