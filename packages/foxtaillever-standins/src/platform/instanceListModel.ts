/**
 * Model of the platform's list of live and leaving instances. What it says is
 * older than the truth by its lag.
 */
import type { Clock, ListedInstance } from 'foxtaillever-core'

interface Version {
  readonly visibleAt: number
  readonly instance: ListedInstance | undefined
}

export class InstanceListModel {
  private readonly versions = new Map<string, Version[]>()

  private constructor (private readonly lagMs: number, private readonly clock: Clock) {}

  static create (lagMs: number, clock: Clock): InstanceListModel {
    return new InstanceListModel(lagMs, clock)
  }

  put (instance: ListedInstance): void {
    this.push(instance.name, instance)
  }

  remove (name: string): void {
    this.push(name, undefined)
  }

  private push (name: string, instance: ListedInstance | undefined): void {
    const versions = this.versions.get(name) ?? []
    this.versions.set(name, [...versions, { visibleAt: this.clock.now() + this.lagMs, instance }])
  }

  list (): ListedInstance[] {
    return [...this.versions.values()]
      .map(versions => versions.filter(version => version.visibleAt <= this.clock.now()).at(-1)?.instance)
      .filter(instance => instance !== undefined)
  }
}
