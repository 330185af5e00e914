/**
 * Model of the platform's list of live and leaving instances. Readers see each
 * change after a lag.
 */
import { Failure, FailureCode, type Clock, type ListedInstance } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

interface Version {
  readonly visibleAt: number
  readonly instance: ListedInstance | undefined
}

/** Faults that can be set at run time. */
export interface InstanceListFaults {
  outage: boolean
  /** Lag of changes from now on, milliseconds. */
  lagMs: number
}

export class InstanceListModel {
  private readonly versions = new Map<string, Version[]>()
  readonly faults: InstanceListFaults

  private constructor (lagMs: number, private readonly clock: Clock) {
    this.faults = { outage: false, lagMs }
  }

  static create (lagMs: number, clock: Clock): InstanceListModel {
    return new InstanceListModel(lagMs, clock)
  }

  setInstance (instance: ListedInstance): void {
    this.addVersion(instance.name, instance)
  }

  remove (name: string): void {
    this.addVersion(name, undefined)
  }

  setFaults (faults: Partial<InstanceListFaults>): void {
    Object.assign(this.faults, faults)
  }

  private addVersion (name: string, instance: ListedInstance | undefined): void {
    const now = this.clock.now()
    const versions = this.versions.get(name) ?? []
    const newestVisible = versions.findLastIndex(version => version.visibleAt <= now)
    const kept = versions.slice(Math.max(0, newestVisible))
    this.versions.set(name, [...kept, { visibleAt: now + this.faults.lagMs, instance }])
  }

  list (): ListedInstance[] {
    return [...this.versions.values()]
      .map(versions => versions.findLast(version => version.visibleAt <= this.clock.now())?.instance)
      .filter(instance => instance !== undefined)
  }

  /** The list as a reader receives it; a failure during an outage. */
  read (): Either<Failure, ListedInstance[]> {
    return this.faults.outage
      ? Left(Failure.notRun(FailureCode.BackendServerError, 'The instance list is down.'))
      : Right(this.list())
  }
}
