/**
 * Reads the platform's list of instances. Its word on a backend server reaches
 * language work and plain services alike.
 */
import { ListedKind, ListedState, waitUntil, type Clock, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import type { RouterCore } from '../core/routerCore.js'
import type { PlainRouter } from '../plain/plainRouter.js'

/** The list lags by itself; reading it more often would not make it newer. */
const PERIOD_MS = 500

export interface ListWatchOptions {
  readonly clock: Clock
  readonly list: InstanceList
  readonly core: RouterCore
  readonly plain: Pick<PlainRouter, 'observeLeaving'>
}

export class ListWatch {
  private running = true

  private constructor (private readonly options: ListWatchOptions) {}

  static create (options: ListWatchOptions): ListWatch {
    return new ListWatch(options)
  }

  start (): void {
    this.watch()
  }

  stop (): void {
    this.running = false
  }

  private async watch (): Promise<void> {
    const { clock, list } = this.options
    while (this.running) {
      const nextAt = clock.now() + PERIOD_MS
      const listed = await list.list()
      listed.ifRight(instances => this.take(instances))
      await waitUntil(clock, nextAt)
    }
  }

  private take (instances: readonly ListedInstance[]): void {
    this.options.core.observeList(instances)
    instances
      .filter(instance => instance.kind === ListedKind.BackendServer)
      .forEach(({ name, state }) => this.options.plain.observeLeaving(name, state === ListedState.Leaving))
  }
}
