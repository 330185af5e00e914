/**
 * Calls the callback when the pending work is done, or synchronously where
 * there is none. A resolved promise would call it in a later turn, and most
 * exchanges have nothing to wait for.
 */
export function callWhenDone<Result> (pending: Promise<Result> | undefined, callback: (result: Result | undefined) => void): void {
  if (pending === undefined) {
    callback(undefined)
    return
  }
  pending.then(callback, error => { throw error })
}
