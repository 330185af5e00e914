/** Readers that wait for a change, each until its own deadline. */
import type { Clock } from 'foxtaillever-core'

export class Watchers {
  private readonly watchers = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Watchers {
    return new Watchers(clock)
  }

  /** Wakes all waiting readers, which check again. */
  wake (): void {
    this.watchers.forEach(watcher => watcher())
  }

  /** Waits for the next change, or until the deadline. */
  async next (deadline: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this.clock.at(deadline, () => watcher())
      const watcher = (): void => {
        cancel()
        this.watchers.delete(watcher)
        resolve()
      }
      this.watchers.add(watcher)
    })
  }
}
