/**
 * Polls the platform's list of instances, and passes the state of backend
 * servers to the router core and to plain services.
 */
import { ListedKind, ListedState, waitUntil, type Clock, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import type { RouterCore } from '../core/routerCore.js'
import type { PlainRouter } from '../plain/plainRouter.js'

/** Polling interval, milliseconds; the list itself lags, so more frequent reads would not be more current. */
const PERIOD_MS = 500

export interface InstanceListMonitorOptions {
  readonly clock: Clock
  readonly list: InstanceList
  readonly core: Pick<RouterCore, 'applyInstanceList'>
  readonly plain: Pick<PlainRouter, 'setLeaving'>
  /** Called with an unexpected error; the list is read again. */
  readonly onError: (error: unknown) => void
}

export class InstanceListMonitor {
  private running = true

  private constructor (private readonly options: InstanceListMonitorOptions) {}

  static create (options: InstanceListMonitorOptions): InstanceListMonitor {
    return new InstanceListMonitor(options)
  }

  start (): void {
    this.poll()
  }

  stop (): void {
    this.running = false
  }

  private async poll (): Promise<void> {
    const { clock, onError } = this.options
    while (this.running) {
      const nextAt = clock.now() + PERIOD_MS
      await this.read().catch(onError)
      await waitUntil(clock, nextAt)
    }
  }

  private async read (): Promise<void> {
    const listed = await this.options.list.list()
    listed.ifRight(instances => this.applyList(instances))
  }

  private applyList (instances: readonly ListedInstance[]): void {
    this.options.core.applyInstanceList(instances)
    instances
      .filter(instance => instance.kind === ListedKind.BackendServer)
      .forEach(({ name, state }) => this.options.plain.setLeaving(name, state === ListedState.Leaving))
  }
}
