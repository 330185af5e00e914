/**
 * Nested `describe` blocks for ava, which has none: a block prefixes the titles of
 * its tests with its own title. Blocks run at load time, tests later.
 */
import test, { type ExecutionContext } from 'ava'

const titles: string[] = []

export function describe (title: string, block: () => void): void {
  titles.push(title)
  block()
  titles.pop()
}

export function it (title: string, run: (t: ExecutionContext) => Promise<void> | void): void {
  test([...titles, title].join(' › '), run)
}
