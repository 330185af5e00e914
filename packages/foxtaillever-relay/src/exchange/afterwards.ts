/**
 * Goes on when what was begun is done, at once where nothing was. Promises that
 * are done go on a turn later; most exchanges need not wait for one.
 */
export function afterwards<Result> (begun: Promise<Result> | undefined, goOn: (result: Result | undefined) => void): void {
  if (begun === undefined) {
    goOn(undefined)
    return
  }
  begun.then(goOn, error => { throw error })
}
